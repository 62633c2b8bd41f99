import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import type { Dispatcher } from "undici";
import { messageOf } from "../../protocol/step_error.ts";
import { ResponseMemoryBudget } from "./response_memory_budget.ts";
import { buildConnector, Client } from "./undici_client.ts";

/** Time within which a connection must be open, in ms. */
const CONNECT_TIMEOUT_MS = 600;
/** Largest answer that is taken, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** Most bytes of all answers of the process that are not whole yet. */
const MAX_COLLECTED_BYTES = 32 * 1024 * 1024;
/** Bytes besides a body that an answer may have, in bytes. */
const MAX_FRAMING_BYTES = 256 * 1024;
/** Bytes of framing that each byte of a body may have: chunks may be short. */
const MAX_FRAMING_PER_BODY_BYTE = 8;
/** Idle time after which a connection is closed unless the peer says, in ms. */
const KEEP_ALIVE_MS = 8_000;
/** Safety margin on the idle time that the peer names, in ms. */
const KEEP_ALIVE_MARGIN_MS = 1_000;

/** Body that a peer has read with the head of its request, in bytes. */
const MAX_SURELY_READ_BYTES = 8 * 1024;
const FRAMING_FIELDS = new Set(["content-length", "transfer-encoding"]);

/** A request to send over some connection of a stack. */
export interface PoolRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Longest idle time of a connection that may be used, in ms. */
  readonly maxIdleMs?: number;
  /** Says whether an answer is the one to this request. */
  readonly accepts?: (status: number, headers: readonly string[]) => boolean;
}

/** What came back. */
export type PoolResult =
  | {
    readonly kind: "answer";
    readonly status: number;
    /** Names and values in turn, as received. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** Whether it is the answer to another request; it has no body then. */
    readonly isMismatched: boolean;
  }
  | {
    readonly kind: "failed";
    /** Whether the request may have reached the peer. */
    readonly sent: boolean;
    readonly message: string;
  };

/** The memory is the process's, so all stacks share one bound. */
const COLLECTED = new ResponseMemoryBudget<AnswerCollector>(
  MAX_COLLECTED_BYTES,
);

interface Connection {
  readonly client: Client;
  socket: Socket | undefined;
  /** Collects the answer that the connection carries now. */
  collector: AnswerCollector | undefined;
  usedAtMs: number;
  /** Whether the connection ended by an error and not by the peer's end. */
  hasFailed: boolean;
}

/**
 * Connections to one address, of which the one used last is used first.
 *
 * Each carries one request at a time. One that failed is closed, so that bytes
 * that belong to no request are never read as the answer to the next.
 *
 * @example
 * ```ts ignore
 * const result = await new ConnectionStack("10.0.0.1:80").send(request, signal);
 * ```
 */
export class LifoConnectionPool {
  readonly #origin: string;
  #idle: Connection[] = [];

  /**
   * Creates a stack without connections.
   *
   * @param address IP address and port.
   */
  constructor(address: string) {
    this.#origin = `http://${address}`;
  }

  /**
   * Sends a request and collects the whole answer.
   *
   * @param request The request.
   * @param signal Cuts the connection.
   * @returns The answer or the failure; never rejects.
   */
  async send(
    request: PoolRequest,
    signal?: AbortSignal,
  ): Promise<PoolResult> {
    const connection = this.#take(request.maxIdleMs);
    const result = checkEnd(
      connection,
      await exchange(connection, request, signal),
    );
    if (isSpoilt(request, result)) this.#destroy(connection);
    else this.#keep(connection);
    return result;
  }

  /** Closes what is idle. */
  close(): void {
    for (const connection of this.#idle) this.#destroy(connection);
    this.#idle = [];
  }

  #take(maxIdleMs = Infinity): Connection {
    const connection = this.#idle.at(-1);
    const isFresh = connection !== undefined &&
      performance.now() - connection.usedAtMs <= maxIdleMs;
    if (isFresh) return this.#idle.pop()!;
    return this.#open();
  }

  #keep(connection: Connection): void {
    const nowMs = performance.now();
    connection.usedAtMs = nowMs;
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
          // Heard before the client hears it, which takes a reset for the end
          // of an answer without a length.
          socket?.once("error", () => connection.hasFailed = true);
          socket?.on("readable", () => {
            connection.collector?.received(socket.bytesRead);
          });
          connection.socket = socket ?? undefined;
          if (error === null) callback(null, socket);
          else callback(error, null);
        }),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      maxResponseSize: MAX_ANSWER_BYTES,
    });
    const connection: Connection = {
      client,
      socket: undefined,
      collector: undefined,
      usedAtMs: 0,
      hasFailed: false,
    };
    return connection;
  }

  #destroy(connection: Connection): void {
    connection.client.destroy().catch(() => {
      // Already closed: there is nothing left to release.
    });
  }
}

/** An answer without a length is whole only if its connection ended orderly. */
function checkEnd(connection: Connection, result: PoolResult): PoolResult {
  if (result.kind === "failed" || !connection.hasFailed) return result;
  const isFramed = result.headers.some((field, index) =>
    index % 2 === 0 && FRAMING_FIELDS.has(field.toLowerCase())
  );
  if (isFramed) return result;
  return {
    kind: "failed",
    sent: true,
    message: "the connection was reset within an answer without a length",
  };
}

/** Says whether bytes may be on the connection that belong to no request. */
function isSpoilt(request: PoolRequest, result: PoolResult): boolean {
  if (result.kind === "failed") return true;
  // A rejection may come before a long body was read; the rest is still due.
  const isLong = (request.body?.length ?? 0) > MAX_SURELY_READ_BYTES;
  if (result.status >= 300 && isLong) return true;
  return result.isMismatched;
}

function exchange(
  connection: Connection,
  request: PoolRequest,
  signal: AbortSignal | undefined,
): Promise<PoolResult> {
  return new Promise((resolve) => {
    const collector = new AnswerCollector({
      resolve,
      signal,
      accepts: request.accepts,
      readBeforeBytes: connection.socket?.bytesRead ?? 0,
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
      // A header that HTTP does not allow; nothing was sent.
      collector.fail(error);
    }
  });
}

/** What a collector needs. */
interface CollectorOptions {
  readonly resolve: (result: PoolResult) => void;
  readonly signal: AbortSignal | undefined;
  readonly accepts: PoolRequest["accepts"];
  /** Bytes that the connection had carried before. */
  readonly readBeforeBytes: number;
}

/**
 * Collects the answer of one exchange.
 *
 * Takes the calls of the client's core. Those of its newer interface are made
 * from them, with all header fields parsed once more.
 */
class AnswerCollector implements Dispatcher.DispatchHandler {
  readonly #options: CollectorOptions;
  readonly #onAbort = () => this.#abort("cancelled");
  /** Cuts the connection; there once the request is being sent. */
  #cut: ((reason: Error) => void) | undefined;
  #status = 0;
  #headers: readonly string[] = [];
  #chunks: Buffer[] = [];
  #isDone = false;

  constructor(options: CollectorOptions) {
    this.#options = options;
    options.signal?.addEventListener("abort", this.#onAbort);
  }

  /**
   * Gives the answer up if it is mostly framing: a head, interim responses or
   * chunk extensions that do not end.
   *
   * @param readBytes Bytes that the connection has carried so far.
   */
  received(readBytes: number): void {
    if (this.#isDone) return;
    const answerBytes = readBytes - this.#options.readBeforeBytes;
    const maxBytes = MAX_FRAMING_BYTES +
      COLLECTED.bytesOf(this) * (1 + MAX_FRAMING_PER_BODY_BYTE);
    if (answerBytes > maxBytes) this.#abort("the answer's framing has no end");
  }

  onConnect(cut: (reason?: Error) => void): void {
    this.#cut = cut;
    if (this.#options.signal?.aborted) this.#abort("cancelled");
  }

  onHeaders(status: number, rawHeaders: readonly Buffer[]): boolean {
    if (status < 200) return true;
    this.#status = status;
    this.#headers = rawHeaders.map((field) => field.toString("latin1"));
    // The body of an answer to another request may have no end.
    if (this.#options.accepts?.(status, this.#headers) === false) {
      this.#answered(Buffer.alloc(0), true);
    }
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.#isDone) return true;
    this.#chunks.push(Buffer.from(chunk));
    const longest = COLLECTED.reserve(this, chunk.length);
    if (longest !== undefined) longest.#abort("answers take too much memory");
    return true;
  }

  onComplete(): void {
    const body = this.#chunks.length === 1
      ? this.#chunks[0]!
      : Buffer.concat(this.#chunks);
    this.#answered(body);
  }

  onError(error: Error): void {
    this.fail(error);
  }

  fail(error: unknown): void {
    const sent = this.#cut !== undefined;
    this.#finish({ kind: "failed", sent, message: messageOf(error) });
  }

  #answered(body: Buffer, isForeign = false): void {
    this.#finish({
      kind: "answer",
      status: this.#status,
      headers: this.#headers,
      body,
      isMismatched: isForeign,
    });
  }

  #abort(reason: string): void {
    if (this.#cut === undefined) this.fail(new Error(reason));
    else this.#cut(new Error(reason));
  }

  #finish(result: PoolResult): void {
    if (this.#isDone) return;
    this.#isDone = true;
    COLLECTED.release(this);
    this.#chunks = [];
    this.#options.signal?.removeEventListener("abort", this.#onAbort);
    this.#options.resolve(result);
  }
}
