import { Buffer } from "node:buffer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { Socket } from "node:net";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { request as send } from "undici";
import { closeServer, listen } from "../src/transport/http/listen.ts";

/** Time between two announcements, in ms. */
const ANNOUNCE_PERIOD_MS = 500;
/** Executions that are remembered for tests. */
const MAX_EXECUTIONS = 200_000;

/** How a stand-in behaves. */
export interface BackendBehaviour {
  /** Mean time to serve a request, in ms. */
  serviceMs: number;
  /** Requests that it serves at a time. */
  slots: number;
  /** Connections that it accepts. */
  maxConnections: number;
  /** Time after the start in which it is slow, in ms. */
  coldStartMs: number;
  /** Says that it is healthy whatever happens. */
  isHealthLying: boolean;
  /** Answers each request with a server error. */
  isFailing: boolean;
  /** Exits when it runs a request whose path has this part. */
  crashMark: string;
  /** Sheds load beyond its slots instead of queueing. */
  isShedding: boolean;
  /** Answers without a body after this many bytes, cutting the connection. */
  cutAfterBytes: number;
}

/** One request that a stand-in ran. */
export interface Execution {
  readonly id: string;
  readonly key: string;
  readonly path: string;
  readonly atMs: number;
}

/** Optional settings of a {@linkcode BackendServer}. */
export interface BackendServerOptions {
  service: string;
  /** Admin address of the daemon to announce to. */
  daemon?: string;
  behaviour?: Partial<BackendBehaviour>;
}

const DEFAULT_BEHAVIOUR: BackendBehaviour = {
  serviceMs: 5,
  slots: 20,
  maxConnections: 100,
  coldStartMs: 0,
  isHealthLying: false,
  isFailing: false,
  crashMark: "crash-me",
  isShedding: true,
  cutAfterBytes: Infinity,
};

/**
 * Stand-in of a backend server with slots, cold start, drain, load shedding,
 * cancellation and a crash on a marked request.
 *
 * It answers `/echo` with the request's body, `/size/N` with N bytes, and any
 * other path with a short text.
 *
 * @example
 * ```ts ignore
 * const server = new BackendServer({ service: "lookup" });
 * const port = await server.listen(0);
 * ```
 */
export class BackendServer {
  readonly behaviour: BackendBehaviour;
  readonly #executions: Execution[] = [];
  /** Called where a marked request asks for a crash. */
  onCrash: () => void = () => process.exit(1);
  readonly #service: string;
  readonly #daemon: string | undefined;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #startedAtMs = 0;
  #running = 0;
  #isDraining = false;
  #announcer: NodeJS.Timeout | undefined;
  #port = 0;
  cancelled = 0;
  shed = 0;

  /**
   * Creates a stand-in.
   *
   * @param options Service, daemon and behaviour.
   */
  constructor(options: BackendServerOptions) {
    this.#service = options.service;
    this.#daemon = options.daemon;
    this.behaviour = { ...DEFAULT_BEHAVIOUR, ...options.behaviour };
    this.#server = createServer({ keepAliveTimeout: 30_000 }, (req, res) => {
      void this.#serve(req, res).catch(() => res.destroy());
    });
    this.#server.on("connection", (socket) => this.#onConnection(socket));
  }

  /** The process, where it has one of its own. */
  get child(): undefined {
    return undefined;
  }

  /** The requests that it ran. */
  executions(): Execution[] {
    return [...this.#executions];
  }

  /** The port that it listens on. */
  get port(): number {
    return this.#port;
  }

  /** Connections that are open. */
  get connections(): number {
    return this.#sockets.size;
  }

  /** Opens the port on the loopback address and starts to announce. */
  async listen(port: number): Promise<number> {
    this.#startedAtMs = Date.now();
    this.#port = await listen(this.#server, "127.0.0.1", port);
    await this.announce();
    this.#announcer = setInterval(
      () => void this.announce(),
      ANNOUNCE_PERIOD_MS,
    );
    return this.#port;
  }

  /** Tells the daemon about this server. */
  async announce(): Promise<number> {
    if (this.#daemon === undefined) return 0;
    try {
      const response = await send(`http://${this.#daemon}/announce`, {
        method: "POST",
        body: JSON.stringify({
          service: this.#service,
          port: this.#port,
          slots: this.behaviour.slots,
          maxConnections: this.behaviour.maxConnections,
          state: this.#isDraining ? "draining" : "ready",
        }),
        signal: AbortSignal.timeout(1_000),
      });
      const body = await response.body.json() as { active?: number };
      return body.active ?? 0;
    } catch {
      return 0;
    }
  }

  /** Asks for no new work and waits until the daemon has none left here. */
  async drain(): Promise<void> {
    this.#isDraining = true;
    while (await this.announce() > 0 || this.#running > 0) await sleep(20);
  }

  /** Closes the port and all connections. */
  close(): Promise<void> {
    clearInterval(this.#announcer);
    return closeServer(this.#server);
  }

  #onConnection(socket: Socket): void {
    if (this.#sockets.size >= this.behaviour.maxConnections) {
      socket.destroy();
      return;
    }
    this.#sockets.add(socket);
    socket.once("close", () => this.#sockets.delete(socket));
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const path = req.url ?? "/";
    if (path === "/health") return this.#health(res);
    if (path === "/_behaviour") {
      Object.assign(this.behaviour, JSON.parse(String(await readBody(req))));
      return void res.end();
    }
    if (path === "/executions") {
      return void res.end(JSON.stringify(this.#executions));
    }
    if (this.behaviour.isFailing) {
      res.writeHead(500);
      return void res.end("failing\n");
    }
    if (this.#running >= this.behaviour.slots && this.behaviour.isShedding) {
      this.shed++;
      res.writeHead(503);
      return void res.end("shed\n");
    }
    this.#running++;
    try {
      await this.#run(path, req, res);
    } finally {
      this.#running--;
    }
  }

  async #run(
    path: string,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    let isCancelled = false;
    res.once("close", () => {
      if (res.writableFinished) return;
      isCancelled = true;
      this.cancelled++;
    });
    const body = await readBody(req);
    this.#record(req, path);
    if (path.includes(this.behaviour.crashMark)) return this.onCrash();
    await sleep(this.#serviceMs(path));
    if (isCancelled) return;
    const answer = answerOf(path, body);
    const id = req.headers["x-sesamepond-request-id"];
    res.writeHead(200, {
      "content-type": "text/plain",
      "content-length": answer.length,
      ...(id === undefined ? {} : { "x-sesamepond-request-id": id }),
    });
    if (answer.length > this.behaviour.cutAfterBytes) {
      res.write(answer.subarray(0, this.behaviour.cutAfterBytes));
      await sleep(20);
      return void res.destroy();
    }
    res.end(answer);
  }

  #serviceMs(path: string): number {
    const asked = /\/sleep\/(\d+)/.exec(path)?.[1];
    if (asked !== undefined) return Number(asked);
    const ageMs = Date.now() - this.#startedAtMs;
    const isCold = ageMs < this.behaviour.coldStartMs;
    return this.behaviour.serviceMs * (isCold ? 5 : 1);
  }

  #health(res: ServerResponse): void {
    const isHealthy = this.behaviour.isHealthLying || !this.behaviour.isFailing;
    res.writeHead(isHealthy ? 200 : 500, { connection: "close" });
    res.end(JSON.stringify({ running: this.#running }));
  }

  #record(req: IncomingMessage, path: string): void {
    if (this.#executions.length >= MAX_EXECUTIONS) this.#executions.shift();
    this.#executions.push({
      id: String(req.headers["x-sesamepond-request-id"] ?? ""),
      key: String(req.headers["idempotency-key"] ?? ""),
      path,
      atMs: Date.now(),
    });
  }
}

function answerOf(path: string, body: Buffer): Buffer {
  const size = /\/size\/(\d+)/.exec(path)?.[1];
  if (size !== undefined) return Buffer.alloc(Number(size), "x");
  if (path.includes("/echo")) return body;
  return Buffer.from(`${path} ${body.length}\n`);
}

async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  if (!req.complete) throw new Error("cut short");
  return Buffer.concat(chunks);
}
