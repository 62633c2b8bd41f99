import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Readable } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import type {
  AnswerSink,
  Call,
  CallBody,
  Execution,
} from "../protocol/call.ts";
import {
  HEADER_IDEMPOTENCY_KEY,
  HEADER_PEER_TOKEN,
} from "../protocol/headers.ts";
import {
  HEADER_PEER_CALL,
  HEADER_PEER_PROBE,
  parsePeerCall,
  type PeerCallHeader,
} from "../protocol/peer_headers.ts";
import { notRun, Reason } from "../protocol/outcome.ts";
import type { PeerAuth } from "../transport/control/peer_auth.ts";
import {
  endToEndHeaders,
  endToEndResponseHeaders,
  singleHeader,
} from "../transport/http/header_filter.ts";
import { DisconnectDetector } from "../transport/http/disconnect_detector.ts";
import {
  closeServer,
  listen,
  stopAccepting,
} from "../transport/http/listen.ts";
import { GatheredPieces } from "../transport/http/body_pieces.ts";
import { refuseLongBody } from "../transport/http/refuse_further_bytes.ts";
import { guardHandler } from "../transport/http/guard_handler.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { EventLoopMonitor } from "../transport/observe/event_loop_monitor.ts";
import { ResponseWriter } from "./response_writer.ts";
import { monotonicMs } from "./clocks.ts";
import type { Destination } from "./destination.ts";

/** Time after which an idle peer connection is closed, in ms. */
const IDLE_TIMEOUT_MS = 60_000;
/** Longest wait for open calls while closing, in ms. */
const MAX_CLOSE_MS = 1_000;
/** Interval at which open calls are checked while closing, in ms. */
const CLOSE_POLL_INTERVAL_MS = 10;

/** Options of a {@linkcode PeerServer}. */
export interface PeerServerOptions {
  /** Executes the calls. */
  readonly destination: Destination;
  /** Authenticates the peers. */
  readonly auth: PeerAuth;
  readonly loop: EventLoopMonitor;
  readonly log: EventLog;
  /** Called with the member id of each call's sender. */
  readonly onSender: (id: string) => void;
}

/**
 * Serves calls that other daemons forward to this daemon's backend server.
 *
 * @example
 * ```ts ignore
 * const server = new PeerServer({ destination, auth, loop, onSender });
 * await server.listen("127.0.0.1", 7002);
 * ```
 */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #server: Server;
  readonly #callerWatch: DisconnectDetector;
  #openCalls = 0;

  /**
   * Creates a server.
   *
   * @param options Executor of the calls and authentication of their senders.
   */
  constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#server = createServer(
      {
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        requestTimeout: 0,
        headersTimeout: IDLE_TIMEOUT_MS,
        noDelay: true,
      },
      guardHandler((...exchange) => this.#serve(...exchange), {
        server: "peers",
        status: 400,
        log: options.log,
      }),
    );
    this.#callerWatch = new DisconnectDetector(this.#server, options.loop);
    options.loop.observe("peers", this.#server);
  }

  /**
   * Starts to listen.
   *
   * @param host IP address.
   * @param port Port; 0 for any free one.
   * @returns The port in use.
   */
  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  /**
   * Stops listening, waits for open calls and closes all connections.
   *
   * Calls that wait in the accept queue are answered first: the operating
   * system would reset their connections, and their senders could not tell
   * whether the calls ran.
   */
  async close(): Promise<void> {
    await stopAccepting(this.#server);
    const deadlineMs = monotonicMs() + MAX_CLOSE_MS;
    while (this.#openCalls > 0 && monotonicMs() < deadlineMs) {
      await sleep(CLOSE_POLL_INTERVAL_MS);
    }
    await closeServer(this.#server);
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { destination, auth, onSender } = this.#options;
    const { headers } = request;
    const caller = this.#callerWatch.watch(request);
    this.#openCalls++;
    response.once("close", () => {
      this.#openCalls--;
      caller.done();
    });
    const header = parsePeerCall(singleHeader(headers, HEADER_PEER_CALL));
    const writer = new ResponseWriter(response, header?.id ?? "", {
      kind: "peer",
      load: () => destination.admission.load,
    });
    const token = singleHeader(headers, HEADER_PEER_TOKEN);
    const sender = auth.verify(token, Date.now());
    if (sender === undefined) {
      refuseLongBody(request, response);
      return refuseWithoutReading(request, writer, Reason.PeerUnauthorized);
    }
    onSender(sender);
    if (headers[HEADER_PEER_PROBE] !== undefined) return writer.writeEmpty();
    if (header === undefined) {
      refuseLongBody(request, response);
      return refuseWithoutReading(request, writer, Reason.HeaderInvalid);
    }
    const running: { execution?: Execution } = {};
    const body = openBody(request, response, () => {
      // First, as the backend server is not to blame for the broken body.
      running.execution?.cancel();
      request.socket.destroy();
    });
    const call = createCall(header, request, body);
    if (!await caller.isConnected()) return;
    running.execution = destination
      .execute(
        call,
        createSink(request, writer, () => running.execution?.resume()),
      );
    response.once("close", () => {
      if (!response.writableFinished) running.execution?.cancel();
    });
  }
}

function createSink(
  request: IncomingMessage,
  writer: ResponseWriter,
  resume: () => void,
): AnswerSink {
  return {
    onRefused: (refusal) => {
      request.resume();
      writer.refuse(refusal);
    },
    onHead: (head) =>
      writer.writeHead({
        status: head.status,
        headers: endToEndResponseHeaders(head.headers),
      }),
    onData: (chunk) => writer.writeData(chunk, resume),
    onEnd: () => writer.end(),
    onAborted: () => writer.abort(),
  };
}

function refuseWithoutReading(
  request: IncomingMessage,
  writer: ResponseWriter,
  reason: Reason,
): void {
  request.resume();
  writer.refuse(notRun(reason));
}

function createCall(
  header: PeerCallHeader,
  request: IncomingMessage,
  body: CallBody,
): Call {
  // Lists the fields one by one: an object rest copy costs 25 µs per call.
  return {
    id: header.id,
    service: header.service,
    rank: header.rank,
    caller: header.caller,
    depth: header.depth,
    isRedirectable: header.isRedirectable,
    contentDigest: header.contentDigest,
    fingerprint: header.fingerprint,
    method: request.method!,
    path: request.url!,
    headers: endToEndHeaders(request.rawHeaders),
    body,
    deadlineMs: monotonicMs() + header.timeoutMs,
    idempotencyKey: singleHeader(request.headers, HEADER_IDEMPOTENCY_KEY),
    retries: { left: header.retriesLeft },
  };
}

function openBody(
  request: IncomingMessage,
  response: ServerResponse,
  onFragmented: () => void,
): CallBody {
  const { headers } = request;
  if (headers["transfer-encoding"] !== undefined) {
    const pieces = new GatheredPieces(request, onFragmented);
    response.once("close", () => pieces.stop());
    return { kind: "stream", stream: Readable.from(pieces.read()) };
  }
  const hasBody = Number(headers["content-length"] ?? 0) > 0;
  return hasBody ? { kind: "stream", stream: request } : { kind: "none" };
}
