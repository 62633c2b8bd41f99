import type { Socket } from "node:net";

/**
 * Counts the bytes that sockets send and receive.
 *
 * @example
 * ```ts ignore
 * server.on("connection", (socket) => meter.track(socket));
 * meter.bytes;
 * ```
 */
export class SocketMeter {
  readonly #open = new Set<Socket>();
  #closedBytes = 0;

  /**
   * Starts to count the bytes of a socket.
   *
   * @param socket The socket.
   */
  track(socket: Socket): void {
    this.#open.add(socket);
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#closedBytes += bytesOf(socket);
    });
  }

  /** Number of bytes read and written so far. */
  get bytes(): number {
    let bytes = this.#closedBytes;
    for (const socket of this.#open) bytes += bytesOf(socket);
    return bytes;
  }
}

function bytesOf(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}
