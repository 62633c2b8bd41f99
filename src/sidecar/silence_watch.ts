import type { RequestKind } from "../protocol/mesh.ts";
import type { MeshReason } from "../protocol/mesh_call.ts";
import type { CallStatus } from "../protocol/peer_call.ts";
import { decideUnanswered } from "../coordination/retry/decide_unanswered.ts";

/** Least silence after which a daemon asks what became of a request, in ms. */
const MIN_QUERY_AFTER_MS = 400;
/** Most silence after which it asks, in ms: a connection may have gone silent. */
const MAX_QUERY_AFTER_MS = 1_500;
/** Multiple of the expected time after which an answer is overdue. */
const OVERDUE_FACTOR = 2;
/** Pause between two questions about one request, in ms. */
const QUERY_PERIOD_MS = 500;

/** What a question about a request without an answer found out. */
export interface Finding {
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

/** What a {@linkcode SilenceWatch} asks, and whom it tells. */
export interface SilenceWatchOptions {
  readonly id: string;
  readonly kind: RequestKind;
  /** Time that the answer is expected to take, in ms. */
  readonly expectedMs: number;
  /** Whether the way of the request has a sign of life: it is open then. */
  readonly isOpen: () => Promise<boolean>;
  /** Asks the destination over another way; takes the request's age, in ms. */
  readonly askStatus: (
    ageMs: number,
  ) => Promise<Pick<Finding, "status" | "wasSent">>;
  readonly onFinding: (finding: Finding) => void;
  /** Takes in, again and again, that the request may be lost. */
  readonly onDoubt: (reason: MeshReason) => void;
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
export class SilenceWatch {
  readonly #options: SilenceWatchOptions;
  readonly #sentAtMs = performance.now();
  #timer: NodeJS.Timeout | undefined;
  #last: CallStatus | undefined;
  #repeated = 0;

  /**
   * Starts with the sending of the request.
   *
   * @param options What to ask, and whom to tell.
   */
  constructor(options: SilenceWatchOptions) {
    this.#options = options;
    this.#askAfter(queryAfterMs(options.expectedMs));
  }

  /** Whether the last question got no answer. */
  get isSilent(): boolean {
    return this.#repeated > 0 && this.#last === undefined;
  }

  /** Ends the questions. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  #askAfter(pauseMs: number): void {
    this.#timer = setTimeout(() => void this.#ask(), pauseMs);
  }

  async #ask(): Promise<void> {
    const { isOpen, askStatus, onFinding, id } = this.#options;
    if (await isOpen()) {
      this.#repeated = 0;
      if (this.#timer !== undefined) this.#askAfter(QUERY_PERIOD_MS);
      return;
    }
    if (this.#timer === undefined) return;
    const askedAtMs = performance.now();
    const { status, wasSent } = await askStatus(askedAtMs - this.#sentAtMs);
    if (this.#timer === undefined) return;
    this.#repeated = status === this.#last ? this.#repeated + 1 : 1;
    this.#last = status;
    const nowMs = performance.now();
    onFinding({
      id,
      status,
      repeated: this.#repeated,
      ageMs: Math.round(nowMs - this.#sentAtMs),
      askedMs: Math.round(nowMs - askedAtMs),
      wasSent,
    });
    this.#conclude();
  }

  #conclude(): void {
    const { kind, onDoubt, onNeverArrived } = this.#options;
    const verdict = decideUnanswered(this.#last, this.#repeated, kind);
    switch (verdict.kind) {
      case "not-run":
        this.stop();
        return onNeverArrived();
      case "doubted":
        onDoubt(verdict.reason);
        return this.#askAfter(QUERY_PERIOD_MS);
      case "wait":
        return this.#askAfter(QUERY_PERIOD_MS);
    }
  }
}

function queryAfterMs(expectedMs: number): number {
  const overdueMs = expectedMs * OVERDUE_FACTOR;
  return Math.min(MAX_QUERY_AFTER_MS, Math.max(MIN_QUERY_AFTER_MS, overdueMs));
}
