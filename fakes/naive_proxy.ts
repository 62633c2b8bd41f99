import { Buffer } from "node:buffer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { Pool } from "undici";
import { closeServer, listen } from "../src/transport/http/listen.ts";

/** Attempts per request, even if an earlier one may have taken effect. */
const ATTEMPTS = 3;

/**
 * Proxies requests as the baseline of the benchmarks: round robin, without
 * ranks or admission control, with retries of every failure.
 *
 * @example
 * ```ts ignore
 * const proxy = new NaiveProxy({ "/lookup": ["127.0.0.1:8001"] });
 * const port = await proxy.listen(0);
 * ```
 */
export class NaiveProxy {
  readonly #pools: [string, Pool[]][];
  readonly #server: Server;
  #next = 0;

  /**
   * Creates a proxy.
   *
   * @param routes Addresses of the backend servers by path prefix.
   */
  constructor(routes: Readonly<Record<string, readonly string[]>>) {
    this.#pools = Object.entries(routes).map(([prefix, addresses]) => [
      prefix,
      addresses.map((address) =>
        new Pool(`http://${address}`, {
          connections: 100,
          pipelining: 1,
          headersTimeout: 10_000,
        })
      ),
    ]);
    this.#server = createServer((req, res) => {
      void this.#serve(req, res).catch(() => res.destroy());
    });
  }

  /**
   * Opens the port on the loopback address.
   *
   * @param port Port, or 0 for any free one.
   * @returns The open port.
   */
  listen(port: number): Promise<number> {
    return listen(this.#server, "127.0.0.1", port);
  }

  /** Closes the port and all connections. */
  async close(): Promise<void> {
    await closeServer(this.#server);
    const pools = this.#pools.flatMap(([, routePools]) => routePools);
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Uint8Array[] = [];
    for await (const chunk of req) chunks.push(chunk as Uint8Array);
    const body = chunks.length === 0 ? null : Buffer.concat(chunks);
    const pools = this.#pools.find(([prefix]) => req.url!.startsWith(prefix))
      ?.[1];
    if (pools === undefined) return void res.writeHead(404).end();
    for (let attempt = 1; attempt <= ATTEMPTS; attempt++) {
      const pool = pools[this.#next++ % pools.length]!;
      try {
        const response = await pool.request({
          method: req.method as "GET",
          path: req.url!,
          headers: pickForwardedHeaders(req),
          body,
        });
        if (response.statusCode >= 500 && attempt < ATTEMPTS) {
          await response.body.dump();
          continue;
        }
        res.writeHead(response.statusCode, {
          "content-type": String(response.headers["content-type"] ?? ""),
        });
        for await (const chunk of response.body) res.write(chunk);
        return void res.end();
      } catch {
        if (attempt === ATTEMPTS) return void res.writeHead(502).end();
      }
    }
  }
}

function pickForwardedHeaders(req: IncomingMessage): Record<string, string> {
  const key = req.headers["idempotency-key"];
  return typeof key === "string" ? { "idempotency-key": key } : {};
}
