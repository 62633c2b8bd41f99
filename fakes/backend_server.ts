import { Buffer } from "node:buffer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { Socket } from "node:net";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { request as send } from "undici";
import { closeServer, listen } from "../src/transport/http/listen.ts";

/** Period of the announcements to the daemon, in ms. */
const ANNOUNCE_PERIOD_MS = 500;
/** Number of most recent executions kept for the tests. */
const MAX_EXECUTIONS = 200_000;

/** Behaviour of the stand-in of a backend server. */
export interface BackendBehaviour {
  /** Time to serve a request after the cold start, in ms. */
  serviceMs: number;
  /** Number of requests served concurrently. */
  slots: number;
  /** Maximum number of open connections; further ones are closed. */
  maxConnections: number;
  /** Time after the start during which requests take longer, in ms. */
  coldStartMs: number;
  /** Whether the health check passes although requests fail. */
  isHealthLying: boolean;
  /** Whether each request gets the status 500. */
  isFailing: boolean;
  /** Part of a path that makes the stand-in exit when it runs the request. */
  crashMark: string;
  /** Whether requests beyond the slots get the status 503. */
  isShedding: boolean;
  /** Number of body bytes after which the connection is closed mid-response. */
  cutAfterBytes: number;
}

/** A request that the stand-in ran. */
export interface Execution {
  readonly id: string;
  readonly key: string;
  readonly path: string;
  readonly atMs: number;
}

/** Options of a {@linkcode BackendServer}. */
export interface BackendServerOptions {
  service: string;
  /** Admin address of the daemon that receives the announcements. */
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
 * Stands in for a backend server with slots, cold start, graceful shutdown,
 * load shedding, cancellation and a crash on a marked request.
 *
 * The response to `/echo` is the request's body, to `/size/N` N bytes, and to
 * any other path a short text. `/sleep/N` is served after N ms.
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
  /** Called when a request has {@linkcode BackendBehaviour.crashMark}. */
  onCrash: () => void = () => process.exit(1);
  readonly #service: string;
  readonly #daemon: string | undefined;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #startedAtMs = 0;
  #running = 0;
  #isDraining = false;
  #announceTimer: NodeJS.Timeout | undefined;
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

  /** The child process; undefined because this stand-in runs in-process. */
  get child(): undefined {
    return undefined;
  }

  /** Returns the requests that the stand-in ran, oldest first. */
  executions(): Execution[] {
    return [...this.#executions];
  }

  /** The port that the stand-in listens on. */
  get port(): number {
    return this.#port;
  }

  /** The number of open connections. */
  get connections(): number {
    return this.#sockets.size;
  }

  /**
   * Opens the port on the loopback address and starts the announcements.
   *
   * @param port Port, or 0 for any free one.
   * @returns The open port.
   */
  async listen(port: number): Promise<number> {
    this.#startedAtMs = Date.now();
    this.#port = await listen(this.#server, "127.0.0.1", port);
    await this.announce();
    this.#announceTimer = setInterval(
      () => void this.announce(),
      ANNOUNCE_PERIOD_MS,
    );
    return this.#port;
  }

  /**
   * Announces this server to its daemon.
   *
   * @returns The number of requests that the daemon still has here; 0 where
   *   there is no daemon or it does not respond.
   */
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

  /** Announces the state `draining` and waits until no request is left here. */
  async drain(): Promise<void> {
    this.#isDraining = true;
    while (await this.announce() > 0 || this.#running > 0) await sleep(20);
  }

  /** Closes the port and all connections. */
  close(): Promise<void> {
    clearInterval(this.#announceTimer);
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
    if (path === "/health") return this.#serveHealth(res);
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
    await sleep(this.#computeServiceMs(path));
    if (isCancelled) return;
    const responseBody = createResponseBody(path, body);
    const id = req.headers["x-sesamepond-request-id"];
    res.writeHead(200, {
      "content-type": "text/plain",
      "content-length": responseBody.length,
      ...(id === undefined ? {} : { "x-sesamepond-request-id": id }),
    });
    if (responseBody.length > this.behaviour.cutAfterBytes) {
      res.write(responseBody.subarray(0, this.behaviour.cutAfterBytes));
      await sleep(20);
      return void res.destroy();
    }
    res.end(responseBody);
  }

  #computeServiceMs(path: string): number {
    const requestedMs = /\/sleep\/(\d+)/.exec(path)?.[1];
    if (requestedMs !== undefined) return Number(requestedMs);
    const ageMs = Date.now() - this.#startedAtMs;
    const isCold = ageMs < this.behaviour.coldStartMs;
    return this.behaviour.serviceMs * (isCold ? 5 : 1);
  }

  #serveHealth(res: ServerResponse): void {
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

function createResponseBody(path: string, body: Buffer): Buffer {
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
