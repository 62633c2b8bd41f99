import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** What a {@linkcode RawServer} writes for a request. */
export interface RawAnswer {
  /** Bytes of the response. */
  readonly text: string;
  /** Whether the connection is reset after it. */
  readonly isReset: boolean;
  /** Whether later requests on the connection are answered too. */
  readonly isKept?: boolean;
}

/** Time after which a connection is reset, in ms; its bytes arrive before. */
const RESET_DELAY_MS = 20;

/**
 * A server that answers the head of each request with given bytes, and reads
 * nothing that follows it.
 *
 * @example
 * ```ts ignore
 * const server = await RawServer.start((head) => ({ text, isReset: true }));
 * server.stop();
 * ```
 */
export class RawServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  private constructor(answer: (head: string) => RawAnswer) {
    this.#server = createServer({ noDelay: true }, (socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => {
        // The client may close the connection.
      });
      let received = "";
      socket.on("data", (chunk) => {
        received += chunk.toString("latin1");
        const endOffset = received.indexOf("\r\n\r\n");
        if (endOffset < 0) return;
        const { text, isReset, isKept } = answer(received.slice(0, endOffset));
        if (isKept !== true) socket.pause();
        received = "";
        socket.write(text, "latin1");
        if (!isReset) return;
        setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
      });
    });
  }

  /** Starts a server on a free port. */
  static async start(answer: (head: string) => RawAnswer): Promise<RawServer> {
    const server = new RawServer(answer);
    await new Promise<void>((resolve) =>
      server.#server.listen(0, "127.0.0.1", resolve)
    );
    return server;
  }

  /** IP address and port. */
  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Ends the server and its connections. */
  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}
