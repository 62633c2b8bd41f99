import { Buffer } from "node:buffer";

/** Protocol that an HTTP connection between daemons is upgraded to. */
export const CHANNEL_PROTOCOL = "sesamepond-calls";
/** What opens a channel. */
export const CHANNEL_UPGRADE_REQUEST = "GET / HTTP/1.1\r\nhost: peer\r\n" +
  `connection: Upgrade\r\nupgrade: ${CHANNEL_PROTOCOL}\r\n\r\n`;
/** What accepts it. */
export const CHANNEL_UPGRADE_RESPONSE = "HTTP/1.1 101 Switching Protocols\r\n" +
  `connection: Upgrade\r\nupgrade: ${CHANNEL_PROTOCOL}\r\n\r\n`;

/**
 * Reads past the head with which a daemon accepts a channel.
 *
 * @example
 * ```ts ignore
 * const frames = opening.push(chunk);
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
   * Takes in bytes.
   *
   * @param chunk The bytes.
   * @returns What follows the head; `undefined` while it is not whole.
   * @throws {RangeError} If the channel is not accepted.
   */
  push(chunk: Buffer): Buffer | undefined {
    this.#head = Buffer.concat([this.#head, chunk]);
    const given = this.#head.toString(
      "latin1",
      0,
      CHANNEL_UPGRADE_RESPONSE.length,
    );
    if (!CHANNEL_UPGRADE_RESPONSE.startsWith(given)) {
      throw new RangeError(
        "Cannot open a channel: the peer does not accept it",
      );
    }
    if (given.length < CHANNEL_UPGRADE_RESPONSE.length) return undefined;
    this.#isDone = true;
    return this.#head.subarray(CHANNEL_UPGRADE_RESPONSE.length);
  }
}
