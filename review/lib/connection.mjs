// A kept connection of a consumer, which may send several idempotent requests
// before the first one is answered. Reads answers in order, by their length.
import { connect } from "node:net";

export class Connection {
  #socket;
  #bytes = Buffer.alloc(0);
  /** Requests without a complete answer, oldest first. */
  #open = [];
  isClosed = false;
  #record;

  constructor(port, record) {
    this.#record = record;
    this.#socket = connect(port, "127.0.0.1");
    this.#socket.setNoDelay(true);
    this.#socket.on("data", (chunk) => this.#read(chunk));
    this.#socket.on("error", () => {});
    this.#socket.on("close", () => this.#close());
  }

  /** Resolves to `{ id, status, tookMs }`; status 0 if the connection ends first. */
  send({ id, path, deadlineMs, method = "GET" }) {
    const sentAtMs = performance.now();
    this.#record(`${id} is sent: ${method} ${path}`);
    this.#socket.write(
      `${method} ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: ${id}\r\n` +
        `X-Deadline-Ms: ${deadlineMs}\r\n\r\n`,
    );
    return new Promise((resolve) => {
      const settle = (status) => {
        const tookMs = Math.round(performance.now() - sentAtMs);
        this.#record(
          `${id} ${status ? `gets ${status}` : "is cut without an answer"} after ${tookMs} ms`,
        );
        resolve({ id, status, tookMs });
      };
      if (this.isClosed) settle(0);
      else this.#open.push({ id, settle });
    });
  }

  destroy() {
    this.#socket.destroy();
  }

  #read(chunk) {
    this.#bytes = Buffer.concat([this.#bytes, chunk]);
    for (;;) {
      const headEnd = this.#bytes.indexOf("\r\n\r\n");
      if (headEnd < 0) return;
      const head = this.#bytes.toString("latin1", 0, headEnd);
      const end = headEnd + 4 + Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
      if (this.#bytes.length < end) return;
      this.#bytes = this.#bytes.subarray(end);
      this.#open.shift()?.settle(Number(head.slice(9, 12)));
    }
  }

  #close() {
    this.isClosed = true;
    for (const { settle } of this.#open.splice(0)) settle(0);
  }
}
