import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import type { Dispatcher } from "undici";
import type { CancelSignal } from "../../protocol/cancellation.ts";
import { timerDelayMs } from "../../protocol/limits.ts";
import { messageOf } from "../../protocol/step_error.ts";
import { waitForNextPoll } from "./disconnect_detector.ts";
import { ByteCollector } from "./byte_collector.ts";
import { PROCESS_BYTES } from "./held_bytes.ts";
import { ResponseMemory } from "./response_memory.ts";
import { buildConnector, Client } from "./undici_client.ts";

/** Connect timeout, in ms. */
const CONNECT_TIMEOUT_MS = 600;
/** Largest response that is accepted, in bytes. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
/** Limit on the size of all incomplete responses in the process, in bytes. */
const MAX_TOTAL_RESPONSE_BYTES = 32 * 1024 * 1024;
/** Size of a response's framing that is allowed without a body, in bytes. */
const MAX_FRAMING_BYTES = 256 * 1024;
/** Framing bytes allowed for each body byte, since chunks may be short. */
const MAX_FRAMING_PER_BODY_BYTE = 1;
/** Idle timeout of a connection unless the peer names one, in ms. */
const KEEP_ALIVE_MS = 8_000;
/**
 * Longest duration of an exchange beyond its silence timeout, in ms, as a peer
 * may send a byte now and then for ever.
 */
const MAX_DRIP_MS = 30_000;
/** Margin subtracted from the idle timeout that the peer names, in ms. */
const KEEP_ALIVE_MARGIN_MS = 1_000;

/** Size up to which a peer reads a body together with the head, in bytes. */
const MAX_READ_WITH_HEAD_BYTES = 8 * 1024;
const FRAMING_FIELDS = new Set(["content-length", "transfer-encoding"]);

/** A request to send over a connection of a pool. */
export interface PoolRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Maximum idle time of a connection to be reused, in ms. */
  readonly maxIdleMs?: number;
  /**
   * Longest time without a byte of the response, in ms; none if omitted. A long
   * response that comes steadily over a slow link has no limit.
   */
  readonly silenceTimeoutMs?: number;
  /**
   * Monotonic time at which the exchange is given up, however much of the
   * response has come. If omitted, it is some time after the silence timeout,
   * or there is none.
   */
  readonly deadlineMs?: number;
  /** Checks whether a response belongs to this request. */
  readonly accepts?: (head: PoolResponseHead) => boolean;
}

/** The head of a response. */
export interface PoolResponseHead {
  readonly status: number;
  /** Alternating names and values, as received. */
  readonly headers: readonly string[];
  /**
   * Whether its connection has carried no other request. A response that names
   * no request can only then be told from one to an earlier request.
   */
  readonly isFirst: boolean;
}

/** Result of a request. */
export type PoolResult =
  | (PoolResponseHead & {
    readonly kind: "answer";
    readonly body: Buffer;
    /** Whether it belongs to another request; the body is empty then. */
    readonly isMismatched: boolean;
  })
  | {
    readonly kind: "failed";
    /** Whether the request may have reached the peer. */
    readonly sent: boolean;
    /** Whether the deadline of the request ended it. */
    readonly hasExpired: boolean;
    readonly message: string;
  };

/** Shared by all pools, since they use the memory of one process. */
const RESPONSE_MEMORY = new ResponseMemory<ResponseCollector>(
  MAX_TOTAL_RESPONSE_BYTES,
);

interface Connection {
  readonly client: Client;
  socket: Socket | undefined;
  /** Collects the current response on the connection. */
  collector: ResponseCollector | undefined;
  usedAtMs: number;
  /** Whether it has carried a request before the current one. */
  isReused: boolean;
  /** Whether the connection ended with an error, not with the peer's FIN. */
  hasFailed: boolean;
}

/**
 * Pool of connections to one address that reuses the last used one first.
 *
 * Each connection carries one request at a time. It is closed after a failure,
 * so that stray bytes are never read as the response to the next request.
 *
 * @example
 * ```ts ignore
 * const pool = new LifoConnectionPool("10.0.0.1:80");
 * const result = await pool.send(request, signal);
 * ```
 */
export class LifoConnectionPool {
  readonly #origin: string;
  #idle: Connection[] = [];

  /**
   * Creates a pool without connections.
   *
   * @param address IP address and port.
   */
  constructor(address: string) {
    this.#origin = `http://${address}`;
  }

  /**
   * Sends a request and buffers the whole response.
   *
   * @param request The request.
   * @param signal Closes the connection when it aborts.
   * @returns The response or the failure; never rejects.
   */
  async send(
    request: PoolRequest,
    signal?: CancelSignal,
  ): Promise<PoolResult> {
    const connection = this.#acquire(request.maxIdleMs);
    const result = checkCompleteness(
      connection,
      await exchange(connection, request, signal),
    );
    if (mayHaveStrayBytes(request, result)) this.#destroy(connection);
    else this.#release(connection);
    return result;
  }

  /** Closes all idle connections. */
  close(): void {
    for (const connection of this.#idle) this.#destroy(connection);
    this.#idle = [];
  }

  #acquire(maxIdleMs = Infinity): Connection {
    const connection = this.#idle.at(-1);
    const isReusable = connection !== undefined &&
      performance.now() - connection.usedAtMs <= maxIdleMs;
    if (isReusable) return this.#idle.pop()!;
    return this.#open();
  }

  #release(connection: Connection): void {
    const nowMs = performance.now();
    connection.usedAtMs = nowMs;
    connection.isReused = true;
    this.#idle.push(connection);
    const oldest = this.#idle[0]!;
    if (nowMs - oldest.usedAtMs > KEEP_ALIVE_MS) {
      this.#idle.shift();
      this.#destroy(oldest);
    }
  }

  #open(): Connection {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    const client = new Client(this.#origin, {
      pipelining: 1,
      connect: (options, callback) =>
        connect(options, (...result) => {
          const [error, socket] = result;
          // Registered before the client's listener, as the client takes a
          // reset for the end of a response without a length.
          socket?.once("error", () => connection.hasFailed = true);
          socket?.on("readable", () => {
            connection.collector?.checkFraming(socket.bytesRead);
          });
          connection.socket = socket ?? undefined;
          if (error === null) callback(null, socket);
          else callback(error, null);
        }),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      maxResponseSize: MAX_RESPONSE_BYTES,
    });
    const connection: Connection = {
      client,
      socket: undefined,
      collector: undefined,
      usedAtMs: 0,
      isReused: false,
      hasFailed: false,
    };
    return connection;
  }

  #destroy(connection: Connection): void {
    connection.client.destroy().catch(() => {
      // Already closed; nothing to release.
    });
  }
}

/**
 * Turns a response without a length into a failure if its connection was reset,
 * since it is complete only after an orderly close.
 */
function checkCompleteness(
  connection: Connection,
  result: PoolResult,
): PoolResult {
  if (result.kind === "failed" || !connection.hasFailed) return result;
  const isFramed = result.headers.some((field, index) =>
    index % 2 === 0 && FRAMING_FIELDS.has(field.toLowerCase())
  );
  if (isFramed) return result;
  return {
    kind: "failed",
    sent: true,
    hasExpired: false,
    message: "connection was reset during a response without a length",
  };
}

/** Returns whether the connection may hold bytes that belong to no request. */
function mayHaveStrayBytes(request: PoolRequest, result: PoolResult): boolean {
  if (result.kind === "failed") return true;
  // The peer may reject a long body before reading it; the rest still follows.
  const isLong = (request.body?.length ?? 0) > MAX_READ_WITH_HEAD_BYTES;
  if (result.status >= 300 && isLong) return true;
  return result.isMismatched;
}

function defaultDeadlineMs(request: PoolRequest): number | undefined {
  return request.silenceTimeoutMs &&
    performance.now() + request.silenceTimeoutMs + MAX_DRIP_MS;
}

function exchange(
  connection: Connection,
  request: PoolRequest,
  signal: CancelSignal | undefined,
): Promise<PoolResult> {
  return new Promise((resolve) => {
    const collector = new ResponseCollector({
      resolve,
      signal,
      accepts: request.accepts,
      silenceTimeoutMs: request.silenceTimeoutMs,
      deadlineMs: request.deadlineMs ?? defaultDeadlineMs(request),
      initialReadBytes: connection.socket?.bytesRead ?? 0,
      isFirst: !connection.isReused,
    });
    connection.collector = collector;
    try {
      connection.client.dispatch({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers as string[],
        body: request.body ?? null,
      }, collector);
    } catch (error) {
      // A header is invalid in HTTP; nothing was sent.
      collector.fail(error);
    }
  });
}

/** Options of a {@linkcode ResponseCollector}. */
interface CollectorOptions {
  readonly resolve: (result: PoolResult) => void;
  readonly signal: CancelSignal | undefined;
  readonly accepts: PoolRequest["accepts"];
  readonly silenceTimeoutMs: number | undefined;
  readonly deadlineMs: number | undefined;
  /** Bytes that were read from the connection before this exchange. */
  readonly initialReadBytes: number;
  readonly isFirst: boolean;
}

/**
 * Buffers the response of one exchange.
 *
 * Implements undici's original handler interface: the newer one is an adapter
 * around it that parses all header fields again.
 */
class ResponseCollector implements Dispatcher.DispatchHandler {
  readonly #options: CollectorOptions;
  readonly #onAbort = () => this.#abort("cancelled");
  /** Closes the connection; set once the request is being sent. */
  #disconnect: ((reason: Error) => void) | undefined;
  #head: PoolResponseHead | undefined;
  readonly #timer: NodeJS.Timeout | undefined;
  readonly #deadlineTimer: NodeJS.Timeout | undefined;
  #hasExpired = false;
  readonly #body = new ByteCollector();
  #isDone = false;

  constructor(options: CollectorOptions) {
    this.#options = options;
    options.signal?.addEventListener("abort", this.#onAbort);
    if (options.silenceTimeoutMs !== undefined) {
      this.#timer = setTimeout(
        () => void this.#expire(),
        options.silenceTimeoutMs,
      );
    }
    if (options.deadlineMs !== undefined) {
      this.#deadlineTimer = setTimeout(
        () => void this.#passDeadline(),
        timerDelayMs(options.deadlineMs),
      );
    }
  }

  /**
   * Aborts the response if it consists mostly of framing: an endless head,
   * endless interim responses or chunk extensions.
   *
   * @param readBytes Bytes read from the connection so far.
   */
  checkFraming(readBytes: number): void {
    if (this.#isDone) return;
    const responseBytes = readBytes - this.#options.initialReadBytes;
    const maxBytes = MAX_FRAMING_BYTES +
      RESPONSE_MEMORY.bytesOf(this) * (1 + MAX_FRAMING_PER_BODY_BYTE);
    if (responseBytes > maxBytes) this.#abort("too much response framing");
  }

  onConnect(disconnect: (reason?: Error) => void): void {
    this.#disconnect = disconnect;
    if (this.#options.signal?.aborted) this.#abort("cancelled");
  }

  onHeaders(status: number, rawHeaders: readonly Buffer[]): boolean {
    if (status < 200) return true;
    this.#head = {
      status,
      headers: rawHeaders.map((field) => field.toString("latin1")),
      isFirst: this.#options.isFirst,
    };
    // The body of a response to another request may be endless.
    if (this.#options.accepts?.(this.#head) === false) {
      this.#succeed(Buffer.alloc(0), true);
    }
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.#isDone) return true;
    this.#timer?.refresh();
    this.#body.append(chunk);
    PROCESS_BYTES.add(chunk.length);
    const longest = RESPONSE_MEMORY.take(this, chunk.length);
    if (longest !== undefined) longest.#abort("responses take too much memory");
    return true;
  }

  onComplete(): void {
    this.#succeed(this.#body.take());
  }

  onError(error: Error): void {
    this.fail(error);
  }

  fail(error: unknown): void {
    const sent = this.#disconnect !== undefined;
    this.#finish({
      kind: "failed",
      sent,
      hasExpired: this.#hasExpired,
      message: messageOf(error),
    });
  }

  #succeed(body: Buffer, isMismatched = false): void {
    this.#finish({ kind: "answer", ...this.#head!, body, isMismatched });
  }

  #abort(reason: string): void {
    if (this.#disconnect === undefined) this.fail(new Error(reason));
    else this.#disconnect(new Error(reason));
  }

  /** After a stall, a timer fires before the response is read. */
  async #expire(): Promise<void> {
    const { sizeBytes } = this.#body;
    await waitForNextPoll();
    if (this.#isDone) return;
    if (this.#body.sizeBytes > sizeBytes) return;
    this.#abort(
      `nothing was received for ${this.#options.silenceTimeoutMs} ms`,
    );
  }

  /** After a stall, the timer fires before the response is read. */
  async #passDeadline(): Promise<void> {
    await waitForNextPoll();
    if (this.#isDone) return;
    this.#hasExpired = true;
    this.#abort("the deadline has passed");
  }

  #finish(result: PoolResult): void {
    if (this.#isDone) return;
    this.#isDone = true;
    clearTimeout(this.#timer);
    clearTimeout(this.#deadlineTimer);
    PROCESS_BYTES.add(-RESPONSE_MEMORY.bytesOf(this));
    RESPONSE_MEMORY.free(this);
    this.#body.clear();
    this.#options.signal?.removeEventListener("abort", this.#onAbort);
    this.#options.resolve(result);
  }
}
