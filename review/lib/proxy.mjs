// TCP proxy on the loopback address. `silenceOpen` makes the connections that
// are open at that moment silent for good: no byte, close or reset passes in
// either direction any more. New connections work.
import { connect, createServer } from "node:net";

export class Proxy {
  #pairs = new Set();
  #server;

  constructor(targetPort) {
    this.#server = createServer({ allowHalfOpen: true }, (inner) => {
      const outer = connect({ port: targetPort, host: "127.0.0.1", allowHalfOpen: true });
      const pair = { inner, outer, isSilent: false };
      this.#pairs.add(pair);
      this.#pipe(pair, inner, outer);
      this.#pipe(pair, outer, inner);
    });
  }

  async start() {
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    return this;
  }

  get port() {
    return this.#server.address().port;
  }

  get openConnections() {
    return this.#pairs.size;
  }

  silenceOpen() {
    for (const pair of this.#pairs) pair.isSilent = true;
    return this.#pairs.size;
  }

  stop() {
    this.#server.close();
    for (const { inner, outer } of this.#pairs) {
      inner.destroy();
      outer.destroy();
    }
  }

  #pipe(pair, from, to) {
    from.setNoDelay(true);
    from.on("data", (chunk) => {
      if (!pair.isSilent) to.write(chunk);
    });
    from.on("end", () => {
      if (!pair.isSilent) to.end();
    });
    from.on("error", () => {
      if (!pair.isSilent) to.resetAndDestroy?.();
    });
    from.on("close", () => {
      if (pair.isSilent) return;
      if (!to.writableEnded) to.destroy();
      if (pair.inner.destroyed && pair.outer.destroyed) this.#pairs.delete(pair);
    });
  }
}
