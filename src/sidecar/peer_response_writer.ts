import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import {
  effectiveDeadlineMs,
  type LinkReservation,
  LinkSchedule,
  type Transfer,
} from "../coordination/dispatch/mod.ts";
import type {
  CallOutcome,
  DestinationLoad,
  MeshAnswer,
  MeshCall,
} from "../protocol/mesh_call.ts";
import { MeshReason, notRunOutcome } from "../protocol/mesh_call.ts";
import { HEADER_RESULT } from "../protocol/peer_call.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { LogRateLimiter } from "../transport/observe/log_rate_limiter.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";

/** HTTP status of a reply to a daemon without a backend server's response. */
const NO_RESPONSE_STATUS = 503;
/** Most log lines about requests refused for the link in a second. */
const MAX_REFUSED_LINES_PER_S = 5;

/** Options of a {@linkcode PeerResponseWriter}. */
export interface PeerResponseWriterOptions {
  /** Bandwidth of the instance's link, in Mbit/s; 0 if unknown. */
  readonly linkMbps: number;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
}

interface PacedBody extends Transfer {
  readonly body: Buffer;
  readonly response: ServerResponse;
}

/**
 * Writes responses to other daemons, large ones in pieces if the link is slow,
 * and refuses requests whose large responses the link cannot carry in time.
 *
 * @example
 * ```ts ignore
 * const refusal = writer.findRefusal(call);
 * writer.write(response, { call, outcome, result });
 * ```
 */
export class PeerResponseWriter {
  readonly #link: LinkSchedule<PacedBody>;
  readonly #options: PeerResponseWriterOptions;
  readonly #refusedLines: LogRateLimiter;
  readonly #reservations = new WeakMap<MeshCall, LinkReservation>();
  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates a writer without responses.
   *
   * @param options Bandwidth of the link, log and metrics.
   */
  constructor(options: PeerResponseWriterOptions) {
    this.#options = options;
    this.#link = new LinkSchedule(options.linkMbps);
    this.#refusedLines = new LogRateLimiter(
      options.log,
      MAX_REFUSED_LINES_PER_S,
    );
  }

  /** Number of reservations that have not ended. */
  get reserved(): number {
    return this.#link.reserved;
  }

  /**
   * Refuses a request whose response could not be sent in time. Its work would
   * only take a slot from others.
   *
   * @param call The request.
   * @returns The refusal; `undefined` if the link has room.
   */
  findRefusal(call: MeshCall): CallOutcome | undefined {
    const nowMs = performance.now();
    this.#link.recordOffer(call, nowMs);
    const { waitMs, sentMs } = this.#link.estimate(call, nowMs);
    if (waitMs === 0) return undefined;
    const latestMs = latestSentMs(call, nowMs);
    if (nowMs + sentMs <= latestMs) return undefined;
    this.#link.recordRefusal(nowMs);
    const { log, metrics } = this.#options;
    metrics.count("link_refusals_total");
    if (this.#refusedLines.allows(nowMs)) {
      log.info("link-full", {
        id: call.id,
        route: call.route,
        organisation: call.organisation,
        waitMs: Math.round(waitMs),
        sentMs: Math.round(sentMs),
        leftMs: Math.round(latestMs - nowMs),
      });
    }
    return notRunOutcome(MeshReason.Overloaded, waitMs);
  }

  /**
   * Reserves the link for the response of a request that starts.
   *
   * @param call The request; {@linkcode release} has to be called at its end.
   */
  reserve(call: MeshCall): void {
    const reservation = this.#link.reserve(call, performance.now());
    if (reservation !== undefined) this.#reservations.set(call, reservation);
  }

  /**
   * Counts the expected response of a request no longer, as it has ended in any
   * way. Its response keeps the reserved place.
   *
   * @param call The request.
   */
  settle(call: MeshCall): void {
    this.#link.settle(this.#reservations.get(call));
  }

  /**
   * Ends the reservation of a request, unless its response is written in pieces.
   *
   * @param call The request.
   */
  release(call: MeshCall): void {
    this.#link.release(this.#reservations.get(call));
    this.#reservations.delete(call);
  }

  /**
   * Learns the size of a response.
   *
   * @param call Its request.
   * @param outcome Outcome of the request.
   */
  recordSize(call: MeshCall, outcome: CallOutcome): void {
    if (outcome.kind !== "answered" || outcome.answer.status >= 300) return;
    const { answer: { body }, serviceMs } = outcome;
    this.#link.record(call.route, { bytes: body.length, serviceMs });
  }

  /**
   * Adds the wait for the link to a load report, for an organisation without a
   * backlog, as the report counts for all organisations.
   *
   * @param call The request that the report answers.
   * @param load Load of the backend server.
   * @returns The load of the destination as a whole.
   */
  withLinkWait(call: MeshCall, load: DestinationLoad): DestinationLoad {
    const { route, priority, objectiveAtMs } = call;
    const { waitMs } = this.#link.estimate(
      { route, priority, objectiveAtMs },
      performance.now(),
    );
    return waitMs <= load.waitMs ? load : { ...load, waitMs };
  }

  /**
   * Writes the response to a request.
   *
   * @param response Where it is written.
   * @param exchange The request with its outcome, and the description of it.
   */
  write(
    response: ServerResponse,
    exchange: {
      readonly call: MeshCall;
      readonly outcome: CallOutcome;
      readonly description: string;
    },
  ): void {
    const { call, outcome, description } = exchange;
    if (outcome.kind !== "answered") {
      response.writeHead(NO_RESPONSE_STATUS, [
        HEADER_RESULT,
        description,
        "content-length",
        "0",
      ]).end();
      return;
    }
    const { answer } = outcome;
    response.sendDate = false;
    response.writeHead(answer.status, [
      ...answer.headers,
      HEADER_RESULT,
      description,
      "content-length",
      String(answer.body.length),
    ]);
    if (this.#link.isLarge(answer.body.length)) {
      this.#writeInPieces(response, call, answer);
    } else {
      response.end(answer.body);
    }
  }

  #writeInPieces(
    response: ServerResponse,
    call: MeshCall,
    { body }: MeshAnswer,
  ): void {
    const paced: PacedBody = {
      bytes: body.length,
      priority: call.priority,
      objectiveAtMs: call.objectiveAtMs,
      organisation: call.organisation,
      organisationPriority: call.organisationPriority,
      isSubcall: call.isSubcall,
      body,
      response,
    };
    this.#link.add(paced, performance.now(), this.#reservations.get(call));
    response.once("close", () => {
      this.#link.remove(paced);
      this.#sendPieces();
    });
    this.#sendPieces();
  }

  #sendPieces(): void {
    for (;;) {
      const piece = this.#link.takePiece(performance.now());
      if (piece === undefined) break;
      const { transfer: { body, response }, start, end } = piece;
      const bytes = body.subarray(start, end);
      if (end === body.length) response.end(bytes);
      else response.write(bytes);
    }
    this.#scheduleNext();
  }

  #scheduleNext(): void {
    if (this.#timer !== undefined) return;
    const delayMs = this.#link.nextPieceMs(performance.now());
    if (delayMs === undefined) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#sendPieces();
    }, Math.ceil(delayMs));
  }
}

/**
 * A queue that makes responses miss their objective carries no more of them
 * than a shorter one.
 */
function latestSentMs(call: MeshCall, nowMs: number): number {
  return call.objectiveAtMs > nowMs
    ? call.objectiveAtMs
    : effectiveDeadlineMs({ ...call, arrivedAtMs: nowMs }, false);
}
