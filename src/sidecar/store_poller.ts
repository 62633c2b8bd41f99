import { setTimeout as sleep } from "node:timers/promises";
import type { Result } from "neverthrow";
import type { StepError } from "../protocol/step_error.ts";
import { waitForNextPoll } from "../transport/http/disconnect_detector.ts";
import type { MeshStore, PollResult } from "./ports.ts";

/**
 * Longest time for which the store may hold a poll, in ms. A poll that is lost
 * is noticed after it.
 */
const POLL_WAIT_MS = 2_000;
/** Silence beyond a poll's wait after which the store is doubted, in ms. */
const DOUBT_MS = 300;
/**
 * The same for a reader: each poll that ends shows its followers that the view
 * is current.
 */
const READER_POLL_WAIT_MS = 1_000;
const MIN_READER_POLL_WAIT_MS = 300;
/** Mean pause after an internal failure, in ms. */
const FAILURE_PAUSE_MS = 400;
/** Pause after a poll with events, so that a series needs few calls, in ms. */
export const COALESCE_MS = 500;

/** Result of a poll, or a poll that may still be answered. */
export type PollOutcome =
  | {
    readonly kind: "answered";
    readonly polled: Result<PollResult, StepError>;
    readonly sentAtMs: number;
  }
  | {
    readonly kind: "doubted";
    readonly pending: Promise<Result<PollResult, StepError>>;
    readonly sentAtMs: number;
    readonly waitMs: number;
    /** Gives the poll up. */
    readonly giveUp: () => void;
  };

/**
 * Polls the store, and doubts a poll that takes longer than a store that
 * responds would let it.
 *
 * @example
 * ```ts ignore
 * const outcome = await new StorePoller(store, "").poll(7, 2_000);
 * ```
 */
export class StorePoller {
  readonly #store: MeshStore;
  readonly #prefix: string;
  /** Stops waiting for the current poll alone. */
  #doubtPoll: (() => void) | undefined;

  /**
   * Creates a poller.
   *
   * @param store The store.
   * @param prefix Prefix of the keys to watch.
   */
  constructor(store: MeshStore, prefix: string) {
    this.#store = store;
    this.#prefix = prefix;
  }

  /** Doubts the current poll, if there is one. */
  doubt(): void {
    this.#doubtPoll?.();
  }

  /**
   * Polls the store once.
   *
   * @param afterRevision Newest revision that was seen.
   * @param waitMs Time for which the store may hold the poll, in ms.
   * @returns The result, or the poll that is doubted.
   */
  async poll(afterRevision: number, waitMs: number): Promise<PollOutcome> {
    const sentAtMs = performance.now();
    const givenUp = new AbortController();
    const pending = Promise.resolve(this.#store.poll({
      prefix: this.#prefix,
      afterRevision,
      waitMs,
      signal: givenUp.signal,
    }));
    const polled = await this.#doubtAfter(pending, waitMs + DOUBT_MS);
    if (polled !== undefined) return { kind: "answered", polled, sentAtMs };
    const giveUp = () => givenUp.abort();
    return { kind: "doubted", pending, sentAtMs, waitMs, giveUp };
  }

  /**
   * Returns the result of a poll; `undefined` if it takes longer than a store
   * that responds would let it.
   */
  async #doubtAfter(
    pending: Promise<Result<PollResult, StepError>>,
    doubtMs: number,
  ): Promise<Result<PollResult, StepError> | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const doubted = new Promise<undefined>((resolve) => {
      // After a stall, the timer fires before the response is read.
      const doubt = () => void waitForNextPoll().then(() => resolve(undefined));
      this.#doubtPoll = doubt;
      timer = setTimeout(doubt, doubtMs);
    });
    const polled = await Promise.race([pending, doubted]);
    clearTimeout(timer);
    this.#doubtPoll = undefined;
    return polled;
  }
}

/**
 * Chooses for how long the store may hold a poll.
 *
 * @param isReader Whether this daemon reads the store for others.
 * @param viewAgeMs Age of its view, in ms.
 * @returns The time, in ms.
 *
 * @example
 * ```ts
 * choosePollWaitMs(false, 0); // 2_000
 * ```
 */
export function choosePollWaitMs(
  isReader: boolean,
  viewAgeMs: number,
): number {
  if (!isReader) return POLL_WAIT_MS;
  return Math.max(
    MIN_READER_POLL_WAIT_MS,
    Math.round(READER_POLL_WAIT_MS - viewAgeMs),
  );
}

/**
 * Waits after a failure, so that a fault that lasts costs few calls.
 *
 * @example
 * ```ts ignore
 * await pauseAfterFailure();
 * ```
 */
export async function pauseAfterFailure(): Promise<void> {
  await sleep(FAILURE_PAUSE_MS * (0.5 + Math.random()));
}
