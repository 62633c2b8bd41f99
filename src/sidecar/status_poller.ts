import type { RequestKind } from "../protocol/mesh.ts";
import type { MeshReason } from "../protocol/mesh_call.ts";
import type { CallStatus } from "../protocol/peer_call.ts";
import { silenceVerdict } from "../coordination/retry/silence_verdict.ts";

/** Least silence after which a daemon asks what became of a request, in ms. */
const MIN_QUERY_DELAY_MS = 400;
/** Most silence after which it asks, in ms: a connection may have gone silent. */
const MAX_QUERY_DELAY_MS = 1_500;
/** Multiple of the expected time after which an answer is overdue. */
const OVERDUE_FACTOR = 2;
/** Pause between two questions about one request, in ms. */
const QUERY_PERIOD_MS = 500;

/** What a question about a request without an answer found out. */
export interface StatusReport {
  readonly id: string;
  /** What the destination says; `undefined` where it says nothing in time. */
  readonly status: CallStatus | undefined;
  /** How often in a row it has said so. */
  readonly repeated: number;
  /** Time since the request was sent. */
  readonly ageMs: number;
  /** Time that the question took. */
  readonly askedMs: number;
  /** Whether the question was written to an open connection. */
  readonly wasSent: boolean;
}

/** What a {@linkcode StatusPoller} asks, and whom it tells. */
export interface StatusPollerOptions {
  readonly id: string;
  readonly kind: RequestKind;
  /** Time that the answer is expected to take, in ms. */
  readonly expectedMs: number;
  /** Whether the way of the request has a sign of life: it is open then. */
  readonly isChannelAlive: () => Promise<boolean>;
  /** Asks the destination over another way; takes the request's age, in ms. */
  readonly queryStatus: (
    ageMs: number,
  ) => Promise<Pick<StatusReport, "status" | "wasSent">>;
  readonly onReport: (report: StatusReport) => void;
  /** Takes in, again and again, that the request may be lost. */
  readonly onSuspected: (reason: MeshReason) => void;
  /** Takes in that it never arrived and never will; the watch has ended. */
  readonly onNeverArrived: () => void;
}

/**
 * Asks about a request again and again until its answer comes.
 *
 * @example
 * ```ts ignore
 * const watch = new SilenceWatch(options);
 * const answer = await send();
 * watch.stop();
 * ```
 */
export class StatusPoller {
  readonly #options: StatusPollerOptions;
  readonly #sentAtMs = performance.now();
  #timer: NodeJS.Timeout | undefined;
  #lastStatus: CallStatus | undefined;
  #repeated = 0;

  /**
   * Starts with the sending of the request.
   *
   * @param options What to ask, and whom to tell.
   */
  constructor(options: StatusPollerOptions) {
    this.#options = options;
    this.#scheduleQuery(computeQueryDelayMs(options.expectedMs));
  }

  /** Whether the last question got no answer. */
  get isUnanswered(): boolean {
    return this.#repeated > 0 && this.#lastStatus === undefined;
  }

  /** Ends the questions. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  #scheduleQuery(delayMs: number): void {
    this.#timer = setTimeout(() => void this.#query(), delayMs);
  }

  async #query(): Promise<void> {
    const {
      isChannelAlive,
      queryStatus,
      onReport,
      id,
    } = this.#options;
    if (await isChannelAlive()) {
      this.#repeated = 0;
      if (this.#timer !== undefined) this.#scheduleQuery(QUERY_PERIOD_MS);
      return;
    }
    if (this.#timer === undefined) return;
    const askedAtMs = performance.now();
    const { status, wasSent } = await queryStatus(askedAtMs - this.#sentAtMs);
    if (this.#timer === undefined) return;
    this.#repeated = status === this.#lastStatus ? this.#repeated + 1 : 1;
    this.#lastStatus = status;
    const nowMs = performance.now();
    onReport({
      id,
      status,
      repeated: this.#repeated,
      ageMs: Math.round(nowMs - this.#sentAtMs),
      askedMs: Math.round(nowMs - askedAtMs),
      wasSent,
    });
    this.#applyVerdict();
  }

  #applyVerdict(): void {
    const { kind, onSuspected, onNeverArrived } = this.#options;
    const verdict = silenceVerdict(this.#lastStatus, this.#repeated, kind);
    switch (verdict.kind) {
      case "not-run":
        this.stop();
        return onNeverArrived();
      case "doubted":
        onSuspected(verdict.reason);
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
