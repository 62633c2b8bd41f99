import { Buffer } from "node:buffer";

/** Protocol to which an HTTP connection between daemons is upgraded. */
export const CHANNEL_PROTOCOL = "sesamepond-calls";
/** Request that opens a channel. */
export const CHANNEL_UPGRADE_REQUEST = "GET / HTTP/1.1\r\nhost: peer\r\n" +
  `connection: Upgrade\r\nupgrade: ${CHANNEL_PROTOCOL}\r\n\r\n`;
/** Response that accepts a channel. */
export const CHANNEL_UPGRADE_RESPONSE = "HTTP/1.1 101 Switching Protocols\r\n" +
  `connection: Upgrade\r\nupgrade: ${CHANNEL_PROTOCOL}\r\n\r\n`;

/**
 * Reads the response head with which a daemon accepts a channel.
 *
 * @example
 * ```ts ignore
 * const frames = handshake.push(chunk);
 * ```
 */
export class ChannelHandshake {
  #head: Buffer = Buffer.alloc(0);
  #isDone = false;

  /** Whether the head has been read. */
  get isDone(): boolean {
    return this.#isDone;
  }

  /**
   * Processes received bytes.
   *
   * @param chunk The bytes.
   * @returns The bytes after the head; `undefined` while it is incomplete.
   * @throws {RangeError} If the peer does not accept the channel.
   */
  push(chunk: Buffer): Buffer | undefined {
    this.#head = Buffer.concat([this.#head, chunk]);
    const received = this.#head.toString(
      "latin1",
      0,
      CHANNEL_UPGRADE_RESPONSE.length,
    );
    if (!CHANNEL_UPGRADE_RESPONSE.startsWith(received)) {
      throw new RangeError(
        "Cannot open a channel: the peer does not accept it",
      );
    }
    if (received.length < CHANNEL_UPGRADE_RESPONSE.length) return undefined;
    this.#isDone = true;
    return this.#head.subarray(CHANNEL_UPGRADE_RESPONSE.length);
  }
}
