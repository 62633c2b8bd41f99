import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { AnswerSink, Call, CallBody } from "../protocol/call.ts";
import {
  HEADER_IDEMPOTENCY_KEY,
  HEADER_PEER_TOKEN,
} from "../protocol/headers.ts";
import {
  HEADER_PEER_CALL,
  HEADER_PEER_QUESTION,
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
import type { EventLoopMonitor } from "../transport/observe/event_loop_monitor.ts";
import { AnswerWriter } from "./answer_writer.ts";
import { monotonicMs } from "./clocks.ts";
import type { Destination } from "./destination.ts";

/** Time for which an idle connection of a peer stays open, in ms. */
const IDLE_CONNECTION_MS = 60_000;
/** Longest time to answer the calls that wait while closing, in ms. */
const MAX_CLOSE_MS = 1_000;
/** Time between two looks at them, in ms. */
const CLOSE_POLL_MS = 10;

/** What a {@linkcode PeerServer} needs. */
export interface PeerServerOptions {
  /** Executes the calls. */
  readonly destination: Destination;
  /** Checks the peers. */
  readonly auth: PeerAuth;
  readonly loop: EventLoopMonitor;
  /** Called with the id of each call's sender. */
  readonly onSender: (id: string) => void;
}

/**
 * Serves calls that other daemons send to this daemon's backend server.
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
  readonly #callers: DisconnectDetector;
  #running = 0;

  /**
   * Creates a server.
   *
   * @param options Who executes the calls, and who checks their senders.
   */
  constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#server = createServer(
      {
        keepAliveTimeout: IDLE_CONNECTION_MS,
        requestTimeout: 0,
        headersTimeout: IDLE_CONNECTION_MS,
        noDelay: true,
      },
      (request, response) => void this.#serve(request, response),
    );
    this.#callers = new DisconnectDetector(this.#server, options.loop);
    options.loop.observe("peers", this.#server);
  }

  /**
   * Opens the port.
   *
   * @param host IP address.
   * @param port Port; 0 for any.
   * @returns The port.
   */
  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  /**
   * Closes the port and all connections, once the calls that wait there are
   * answered: the system would reset them, and their senders could not tell
   * whether they ran.
   */
  async close(): Promise<void> {
    await stopAccepting(this.#server);
    const untilMs = monotonicMs() + MAX_CLOSE_MS;
    while (this.#running > 0 && monotonicMs() < untilMs) {
      await sleep(CLOSE_POLL_MS);
    }
    await closeServer(this.#server);
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { destination, auth, onSender } = this.#options;
    const { headers } = request;
    const caller = this.#callers.watch(request);
    this.#running++;
    response.once("close", () => {
      this.#running--;
      caller.done();
    });
    const header = parsePeerCall(singleHeader(headers, HEADER_PEER_CALL));
    const writer = new AnswerWriter(response, header?.id ?? "", {
      kind: "peer",
      load: () => destination.admission.load,
    });
    const token = singleHeader(headers, HEADER_PEER_TOKEN);
    const sender = auth.verify(token, Date.now());
    if (sender === undefined) {
      return refuseUnread(request, writer, Reason.PeerUnauthorized);
    }
    onSender(sender);
    if (headers[HEADER_PEER_QUESTION] !== undefined) return writer.present();
    if (header === undefined) {
      return refuseUnread(request, writer, Reason.HeaderInvalid);
    }
    const call = toCall(header, request);
    if (!await caller.isConnected()) return;
    const execution = destination
      .execute(call, sinkOf(request, writer, () => execution.resume()));
    response.once("close", () => {
      if (!response.writableFinished) execution.cancel();
    });
  }
}

function sinkOf(
  request: IncomingMessage,
  writer: AnswerWriter,
  resume: () => void,
): AnswerSink {
  return {
    onRefused: (refusal) => {
      request.resume();
      writer.refuse(refusal);
    },
    onHead: (head) =>
      writer.head({
        status: head.status,
        headers: endToEndResponseHeaders(head.headers),
      }),
    onData: (chunk) => writer.data(chunk, resume),
    onEnd: () => writer.end(),
    onCut: () => writer.cut(),
  };
}

function refuseUnread(
  request: IncomingMessage,
  writer: AnswerWriter,
  reason: Reason,
): void {
  request.resume();
  writer.refuse(notRun(reason));
}

function toCall(header: PeerCallHeader, request: IncomingMessage): Call {
  // Fields by name: copying the rest of an object takes 25 µs a call.
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
    body: bodyOf(request),
    deadlineMs: monotonicMs() + header.timeoutMs,
    idempotencyKey: singleHeader(request.headers, HEADER_IDEMPOTENCY_KEY),
    retries: { left: header.retriesLeft },
  };
}

function bodyOf(request: IncomingMessage): CallBody {
  const { headers } = request;
  const hasBody = headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
  return hasBody ? { kind: "stream", stream: request } : { kind: "none" };
}
