import type { RequestKind } from "../protocol/mesh.ts";
import type { MeshReason } from "../protocol/mesh_call.ts";
import type { CallStatus } from "../protocol/peer_call.ts";
import { decideUnanswered } from "../coordination/retry/decide_unanswered.ts";

/** Shortest time without a response before the first status query, in ms. */
const MIN_QUERY_DELAY_MS = 400;
/** Longest time before that query, in ms, as the connection may be dead. */
const MAX_QUERY_DELAY_MS = 1_500;
/** Multiple of the expected time after which a response is overdue. */
const OVERDUE_FACTOR = 2;
/** Pause between two status queries for one request, in ms. */
const QUERY_PERIOD_MS = 500;

/** Result of a status query for a request without a response. */
export interface StatusReport {
  readonly id: string;
  /** Status that the destination reports; `undefined` if it did not respond. */
  readonly status: CallStatus | undefined;
  /** How often in a row the result was the same. */
  readonly repeated: number;
  /** Time since the request was sent, in ms. */
  readonly ageMs: number;
  /** Time that the query took, in ms. */
  readonly askedMs: number;
  /** Whether the query was written to an open connection. */
  readonly wasSent: boolean;
}

/** Options of a {@linkcode StatusPoller}. */
export interface StatusPollerOptions {
  readonly id: string;
  readonly kind: RequestKind;
  /** Expected time until the response, in ms. */
  readonly expectedMs: number;
  /** Whether the peer responds on the request's channel: it is open then. */
  readonly isChannelAlive: () => Promise<boolean>;
  /** Queries over another connection; takes the age of the request, in ms. */
  readonly queryStatus: (
    ageMs: number,
  ) => Promise<Pick<StatusReport, "status" | "wasSent">>;
  readonly onReport: (report: StatusReport) => void;
  /** Called repeatedly while the request is suspected lost. */
  readonly onSuspected: (reason: MeshReason) => void;
  /** Called if the request never arrived and never will; polling has ended. */
  readonly onNeverArrived: () => void;
}

/**
 * Polls the status of a request until its response arrives.
 *
 * @example
 * ```ts ignore
 * const poller = new StatusPoller(options);
 * const response = await send();
 * poller.stop();
 * ```
 */
export class StatusPoller {
  readonly #options: StatusPollerOptions;
  readonly #sentAtMs = performance.now();
  #timer: NodeJS.Timeout | undefined;
  #lastStatus: CallStatus | undefined;
  #repeated = 0;

  /**
   * Starts polling; to be called as the request is sent.
   *
   * @param options The request, the queries and the callbacks.
   */
  constructor(options: StatusPollerOptions) {
    this.#options = options;
    this.#scheduleQuery(computeQueryDelayMs(options.expectedMs));
  }

  /** Whether the last status query got no response. */
  get isUnanswered(): boolean {
    return this.#repeated > 0 && this.#lastStatus === undefined;
  }

  /** Stops polling. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  #scheduleQuery(delayMs: number): void {
    this.#timer = setTimeout(() => void this.#query(), delayMs);
  }

  async #query(): Promise<void> {
    const { isChannelAlive, queryStatus, onReport, id } = this.#options;
    if (await isChannelAlive()) {
      this.#repeated = 0;
      if (this.#timer !== undefined) this.#scheduleQuery(QUERY_PERIOD_MS);
      return;
    }
    if (this.#timer === undefined) return;
    const queriedAtMs = performance.now();
    const { status, wasSent } = await queryStatus(queriedAtMs - this.#sentAtMs);
    if (this.#timer === undefined) return;
    this.#repeated = status === this.#lastStatus ? this.#repeated + 1 : 1;
    this.#lastStatus = status;
    const nowMs = performance.now();
    onReport({
      id,
      status,
      repeated: this.#repeated,
      ageMs: Math.round(nowMs - this.#sentAtMs),
      askedMs: Math.round(nowMs - queriedAtMs),
      wasSent,
    });
    this.#applyDecision();
  }

  #applyDecision(): void {
    const { kind, onSuspected, onNeverArrived } = this.#options;
    const decision = decideUnanswered(this.#lastStatus, this.#repeated, kind);
    switch (decision.kind) {
      case "not-run":
        this.stop();
        return onNeverArrived();
      case "doubted":
        onSuspected(decision.reason);
        return this.#scheduleQuery(QUERY_PERIOD_MS);
      case "wait":
        return this.#scheduleQuery(QUERY_PERIOD_MS);
    }
  }
}

function computeQueryDelayMs(expectedMs: number): number {
  const overdueMs = expectedMs * OVERDUE_FACTOR;
  return Math.min(MAX_QUERY_DELAY_MS, Math.max(MIN_QUERY_DELAY_MS, overdueMs));
}
