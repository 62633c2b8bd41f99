import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Buffer } from "node:buffer";
import {
  encodeFeed,
  FEED_PATH,
  type FeedNews,
  parseFeedTarget,
} from "../protocol/feed.ts";
import type { CallOutcome, MeshCall } from "../protocol/mesh_call.ts";
import { MeshReason, notRunOutcome } from "../protocol/mesh_call.ts";
import {
  type CallDescription,
  CallStatus,
  CONFIG_PATH,
  formatFrameHead,
  formatResult,
  HEADER_CALL,
  HEADER_RESULT,
  parseCall,
  parseFrameHead,
  parsePlaceTarget,
  PLACE_PATH,
  STATUS_PATH,
} from "../protocol/peer_call.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import { ChannelServer, type ReceivedCall } from "../transport/channel/mod.ts";
import {
  DisconnectDetector,
  type StallDetector,
  waitForNextPoll,
} from "../transport/http/disconnect_detector.ts";
import { endToEndHeaders } from "../transport/http/header_filter.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import { CallLedger, MEMORY_MS } from "./call_ledger.ts";
import type { Ending } from "./ending.ts";
import type { DestinationTask } from "./destination_task.ts";
import { PlaceDesk } from "./place_desk.ts";
import { readBody } from "./read_body.ts";

/** Time for which an idle connection of another daemon stays open, in ms. */
const KEEP_ALIVE_MS = 60_000;
/** Largest body that another daemon may send, in bytes. */
const MAX_BODY_BYTES = 256 * 1024 * 1024;
/** Status of a message between daemons that carries no backend's answer. */
const NO_ANSWER_STATUS = 503;
/** Time from a process's start to its first request, with room, in ms. */
const START_MARGIN_MS = 200;
const SENDER_FIELDS = new Set([HEADER_CALL, "content-length"]);

/** What a peer server needs. */
export interface PeerServerOptions {
  readonly destination: DestinationTask;
  readonly routes: RouteTableHolder;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
  readonly ending: Ending;
  readonly stalls: StallDetector;
  /** Takes in the configuration version of another daemon. */
  readonly onVersion: (version: number, host: string) => void;
  /** Waits for news from the store after a revision; `undefined` for none. */
  readonly newsFor: (
    afterRevision: number,
    waitMs: number,
  ) => Promise<FeedNews | undefined>;
}

/**
 * Executes the requests of other daemons.
 *
 * @example
 * ```ts ignore
 * const { server } = new PeerServer(options);
 * ```
 */
export class PeerServer {
  readonly server: Server;
  readonly #channels: ChannelServer;
  readonly #options: PeerServerOptions;
  readonly #callers: DisconnectDetector;
  readonly #ledger = new CallLedger();
  readonly #places = new PlaceDesk();
  #lastFeed: { readonly news: FeedNews; readonly body: Buffer } | undefined;

  /**
   * Creates a server that does not listen yet.
   *
   * @param options Destination, configuration and log.
   */
  constructor(options: PeerServerOptions) {
    this.#options = options;
    this.server = createServer({
      keepAliveTimeout: KEEP_ALIVE_MS,
      requestTimeout: 0,
    }, (request, response) => void this.#handle(request, response));
    this.#callers = new DisconnectDetector(this.server, options.stalls);
    this.#channels = new ChannelServer(
      this.server,
      (call) => void this.#handleOnChannel(call),
    );
  }

  /** Closes the channels of other daemons; the port is the server's. */
  closeChannels(): void {
    this.#channels.close();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const header = request.headers[HEADER_CALL];
    if (typeof header !== "string") {
      return this.#answerQuestion(request, response);
    }
    const description = parseCall(header);
    if (description === undefined) {
      this.#options.log.warn("peer-call-unreadable", {
        peer: request.socket.remoteAddress,
      });
      response.writeHead(400).end();
      return;
    }
    // Noted with its head, as a long body may be on its way for a while.
    const { id } = description;
    const caller = this.#callers.watch(request);
    response.once("close", caller.done);
    const arrivedAtMs = performance.now();
    const mayRun = this.#ledger.open(id, arrivedAtMs);
    this.#options.metrics.count("peer_calls_total");
    const read = await readBody(request, MAX_BODY_BYTES);
    this.#places.arrived(id);
    if (read.kind !== "whole") {
      this.#ledger.end(id, performance.now());
      response.destroy();
      return;
    }
    const { host } = request.headers;
    const call = toCall({
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: [
        ...(host === undefined ? [] : ["host", host]),
        ...endToEndHeaders(request.rawHeaders, SENDER_FIELDS),
      ],
      description,
      body: read.body,
      arrivedAtMs,
    });
    const outcome = await this.#execute(call, {
      mayRun,
      signal: caller.cancel.signal,
      isWaitedFor: caller.isConnected,
    });
    this.#answer({ call, outcome, arrivedAtMs }, response);
    this.#ended(description, request.socket.remoteAddress);
  }

  async #handleOnChannel(received: ReceivedCall): Promise<void> {
    const head = parseFrameHead(received.head);
    const description = head && parseCall(head.description);
    if (description === undefined) {
      this.#options.log.warn("peer-call-unreadable", { peer: received.peer });
      return received.answer("");
    }
    const arrivedAtMs = performance.now();
    const mayRun = this.#ledger.open(description.id, arrivedAtMs);
    this.#options.metrics.count("peer_calls_total");
    const [method, path] = head!.start;
    const { body } = received;
    const call = toCall({
      method: String(method),
      path: String(path),
      headers: head!.headers,
      description,
      body: body.length === 0 ? undefined : body,
      arrivedAtMs,
    });
    const mayBeOld = received.isFromFirstRead ||
      this.#options.stalls.hasStalled;
    const outcome = await this.#execute(call, {
      mayRun,
      signal: received.signal,
      isWaitedFor: async () => {
        if (mayBeOld) await waitForNextPoll();
      },
    });
    const answer = outcome.kind === "answered" ? outcome.answer : undefined;
    received.answer(
      formatFrameHead({
        description: this.#describe({ call, outcome, arrivedAtMs }),
        start: [answer?.status ?? NO_ANSWER_STATUS],
        headers: answer?.headers ?? [],
      }),
      answer?.body,
    );
    this.#ended(description, received.peer);
  }

  #ended(description: CallDescription, peer: string | undefined): void {
    this.#ledger.end(description.id, performance.now());
    this.#options.onVersion(description.configVersion, peer ?? "");
  }

  async #execute(
    call: MeshCall,
    arrival: {
      /** Whether nobody was told that it never arrived. */
      readonly mayRun: boolean;
      readonly signal: AbortSignal;
      readonly isWaitedFor: () => Promise<unknown>;
    },
  ): Promise<CallOutcome> {
    const { destination, ending } = this.#options;
    if (!arrival.mayRun) return notRunOutcome(MeshReason.Unreachable);
    if (!ending.allows(call.deadlineMs, performance.now())) {
      return notRunOutcome(MeshReason.Leaving);
    }
    await arrival.isWaitedFor();
    return await destination.execute(call, arrival.signal);
  }

  #answer(
    ended: {
      readonly call: MeshCall;
      readonly outcome: CallOutcome;
      readonly arrivedAtMs: number;
    },
    response: ServerResponse,
  ): void {
    const { outcome } = ended;
    const result = this.#describe(ended);
    if (outcome.kind !== "answered") {
      response.writeHead(NO_ANSWER_STATUS, [
        HEADER_RESULT,
        result,
        "content-length",
        "0",
      ]).end();
      return;
    }
    const { status, headers, body } = outcome.answer;
    response.sendDate = false;
    response.writeHead(status, [
      ...headers,
      HEADER_RESULT,
      result,
      "content-length",
      String(body.length),
    ]).end(body);
  }

  #describe(
    ended: {
      readonly call: MeshCall;
      readonly outcome: CallOutcome;
      readonly arrivedAtMs: number;
    },
  ): string {
    return formatResult({
      outcome: ended.outcome,
      load: this.#options.destination.loadFor(ended.call),
      configVersion: this.#options.routes.version,
      heldMs: performance.now() - ended.arrivedAtMs,
    });
  }

  #answerQuestion(request: IncomingMessage, response: ServerResponse): void {
    const target = request.url ?? "";
    if (target === CONFIG_PATH) {
      response.writeHead(200).end(this.#options.routes.source);
    } else if (target.startsWith(STATUS_PATH)) {
      const [id, ageMs] = target.slice(STATUS_PATH.length).split("?ageMs=");
      response.writeHead(200).end(this.#statusOf(id!, Number(ageMs ?? 0)));
    } else if (target.startsWith(PLACE_PATH)) {
      const { id, usefulMs } = parsePlaceTarget(target);
      response.once("close", () => {
        if (!response.writableFinished) this.#places.arrived(id);
      });
      this.#places.ask({ id, usefulMs }, {
        admit: () => response.writeHead(200, { "content-length": 0 }).end(),
        refuse: (waitMs) =>
          response.writeHead(NO_ANSWER_STATUS).end(String(Math.ceil(waitMs))),
      });
    } else if (target.startsWith(FEED_PATH)) {
      void this.#answerFollower(target, response);
    } else {
      response.writeHead(404).end();
    }
  }

  /**
   * A request that is older than this process may have run beside an earlier
   * one, whose ledger went with it; one older than the ledger's memory may have
   * been forgotten.
   */
  #statusOf(encodedId: string, ageMs: number): CallStatus {
    const nowMs = performance.now();
    const status = this.#ledger.ask(decodeURIComponent(encodedId), nowMs);
    const isOlder = ageMs + START_MARGIN_MS >= nowMs || ageMs >= MEMORY_MS;
    const known = status === CallStatus.Unknown && isOlder
      ? CallStatus.Ended
      : status;
    this.#options.metrics.count("questions_answered_total", { status: known });
    return known;
  }

  async #answerFollower(
    target: string,
    response: ServerResponse,
  ): Promise<void> {
    const asked = parseFeedTarget(target);
    const news = asked &&
      await this.#options.newsFor(asked.afterRevision, asked.waitMs);
    if (news === undefined) {
      response.writeHead(NO_ANSWER_STATUS, { "content-length": 0 }).end();
      return;
    }
    const body = this.#encoded(news);
    response.writeHead(200, { "content-length": body.length }).end(body);
  }

  /** Followers mostly ask for the same, and a configuration is long. */
  #encoded(news: FeedNews): Buffer {
    const known = this.#lastFeed;
    const isSame = known?.news.revision === news.revision &&
      known.news.events.length === news.events.length;
    if (isSame) return known.body;
    const body = encodeFeed(news);
    this.#lastFeed = { news, body };
    return body;
  }
}

/** Times count from the arrival of the head: a long body takes its own time. */
function toCall(
  parts: Pick<MeshCall, "method" | "path" | "headers" | "body"> & {
    readonly description: CallDescription;
    readonly arrivedAtMs: number;
  },
): MeshCall {
  const { description, arrivedAtMs } = parts;
  // Each field by its name, as a copy of the rest takes far longer.
  return {
    id: description.id,
    method: parts.method,
    path: parts.path,
    headers: parts.headers,
    body: parts.body,
    route: description.route,
    kind: description.kind,
    priority: description.priority,
    callerService: description.callerService,
    service: description.service,
    backendId: description.backendId,
    deadlineMs: arrivedAtMs + description.remainingMs,
    objectiveAtMs: arrivedAtMs + description.objectiveInMs,
  };
}
