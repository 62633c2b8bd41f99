import { setTimeout as sleep } from "node:timers/promises";
import type { Result } from "neverthrow";
import { canFollow } from "../coordination/eras/mod.ts";
import {
  planRecovery,
  type RecoveryPlan,
} from "../coordination/readers/mod.ts";
import type { FeedPoll, FeedPollResult } from "../protocol/feed.ts";
import type { BackendRecord } from "../protocol/mesh.ts";
import type { StepError } from "../protocol/step_error.ts";
import type { RangeResult } from "../protocol/store.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { FollowedBatch } from "./feed_follower.ts";
import type { MeshStore, PollResult } from "./ports.ts";

/** Oldest view of another daemon that is taken without changes, in ms. */
const MAX_SOURCE_AGE_MS = 1_500;
/** Pause before a daemon that does not read the store is asked again, in ms. */
const REFUSED_PAUSE_MS = 200;
/** The same for one that does not respond, in ms. */
const FAILED_PAUSE_MS = 1_000;
/** Time for which such a daemon is not planned with, in ms. */
const FAILED_TTL_MS = 3_000;
/** Longest time until the plan is made again, in ms. */
const REPLAN_MS = 500;
/** Pause between two polls of a daemon that has lost the store, in ms. */
const AWAY_PAUSE_MS = 20;
/** Multiple of a probe's time for which a listing may be silent. */
const SILENCE_FACTOR = 3;
/** Shortest time for which a listing may be silent, in ms. */
const MIN_SILENCE_TIMEOUT_MS = 1_500;

/** How a lost store was regained. */
export type Recovery =
  /** The store answered the poll that had been doubted. */
  | { readonly kind: "polled"; readonly result: PollResult }
  | {
    readonly kind: "listed";
    readonly range: RangeResult;
    /** Monotonic time at which the listing was sent, in ms. */
    readonly sentAtMs: number;
  }
  | {
    readonly kind: "followed";
    readonly source: string;
    readonly batch: FollowedBatch;
  }
  | { readonly kind: "stopped" };

/** What is known as the store is doubted. */
export interface RecoveryStart {
  /** Newest revision that was seen; `undefined` before the first listing. */
  readonly afterRevision: number | undefined;
  /**
   * Whether the view is current: other daemons then wait for a change before
   * they respond.
   */
  readonly isCurrent: boolean;
  /** Era of that revision; `undefined` if the store names none. */
  readonly era?: number | undefined;
  /** A poll that may still be answered. */
  readonly pending?: Promise<Result<PollResult, StepError>>;
}

/** Options of a {@linkcode StoreRecovery}. */
export interface StoreRecoveryOptions {
  readonly store: MeshStore;
  readonly prefix: string;
  readonly instance: string;
  readonly domain: string;
  readonly directory: BackendDirectory;
  readonly pollFeed: (
    record: BackendRecord,
    poll: FeedPoll,
    signal: AbortSignal,
  ) => Promise<FeedPollResult>;
  /** Called with each call of the store and whether it was answered. */
  readonly onCall: (call: string, sentAtMs: number, isOk: boolean) => void;
}

/**
 * Waits for a store that does not answer, or for a daemon that reaches it.
 *
 * No wait is long enough for a store that is slow and short enough for one that
 * is silent. So nothing is waited for alone: probes go out at a steady rate
 * while earlier calls are pending, and the daemons that probe most for the
 * failure domain hold the polls of the others until one of them has an answer.
 *
 * @example
 * ```ts ignore
 * const recovery = await new StoreRecovery(options).run(start, signal);
 * ```
 */
export class StoreRecovery {
  readonly #options: StoreRecoveryOptions;
  readonly #failedUntilMs = new Map<string, number>();
  /** When the store was lost; `undefined` while it is not. */
  #lostAtMs: number | undefined;
  /** When it was last probed since then. */
  #probedAtMs = -Infinity;

  /**
   * Creates a recovery that has not started.
   *
   * @param options Store, directory and how other daemons are polled.
   */
  constructor(options: StoreRecoveryOptions) {
    this.#options = options;
  }

  /** Forgets the loss, as this daemon does not need the store itself. */
  reset(): void {
    this.#lostAtMs = undefined;
    this.#probedAtMs = -Infinity;
  }

  /**
   * Waits until the state of the store is known again. Probes go on as planned
   * over several runs until the store itself answers.
   *
   * @param start What is known as the store is doubted.
   * @param signal Stops the wait.
   * @returns How the state came; never rejects.
   */
  async run(start: RecoveryStart, signal: AbortSignal): Promise<Recovery> {
    this.#lostAtMs ??= performance.now();
    const ended = new AbortController();
    const recovery = await new Promise<Recovery>((resolve) => {
      signal.addEventListener("abort", () => resolve({ kind: "stopped" }), {
        signal: ended.signal,
      });
      if (signal.aborted) resolve({ kind: "stopped" });
      void start.pending?.then((polled) => {
        if (polled.isOk()) resolve({ kind: "polled", result: polled.value });
      });
      void this.#probe(ended.signal, resolve);
      void this.#followSources(start, ended.signal, resolve);
    });
    ended.abort();
    if (recovery.kind === "listed" || recovery.kind === "polled") this.reset();
    return recovery;
  }

  /** Plans without daemons that do not respond, so that others step in. */
  #plan(): RecoveryPlan {
    const { directory, instance, domain } = this.#options;
    const nowMs = performance.now();
    for (const [failed, untilMs] of this.#failedUntilMs) {
      if (untilMs <= nowMs) this.#failedUntilMs.delete(failed);
    }
    const records = [...directory.entries].map(({ record }) => record)
      .filter((record) => !this.#failedUntilMs.has(record.instance));
    return planRecovery(records, instance, domain);
  }

  async #probe(
    signal: AbortSignal,
    resolve: (recovery: Recovery) => void,
  ): Promise<void> {
    const lostAtMs = this.#lostAtMs ?? performance.now();
    while (!signal.aborted) {
      const { firstProbeMs, probePeriodMs } = this.#plan();
      const dueAtMs = Math.max(
        lostAtMs + firstProbeMs,
        this.#probedAtMs + probePeriodMs,
      );
      const delayMs = dueAtMs - performance.now();
      if (delayMs > 0) {
        await pause(Math.min(delayMs, REPLAN_MS), signal);
        continue;
      }
      this.#probedAtMs = performance.now();
      void this.#probeOnce(signal).then((listed) => {
        if (listed !== undefined) resolve({ kind: "listed", ...listed });
      });
    }
  }

  /** Lists the store if it answers a probe. */
  async #probeOnce(
    signal: AbortSignal,
  ): Promise<{ range: RangeResult; sentAtMs: number } | undefined> {
    const { store, prefix, onCall } = this.#options;
    const probedAtMs = performance.now();
    const probed = await store.probe(signal);
    if (signal.aborted) return undefined;
    onCall("probe", probedAtMs, probed.isOk());
    if (probed.isErr()) return undefined;
    const listedAtMs = performance.now();
    const silenceTimeoutMs = Math.max(
      MIN_SILENCE_TIMEOUT_MS,
      SILENCE_FACTOR * (listedAtMs - probedAtMs),
    );
    const listed = await store.list(prefix, { silenceTimeoutMs, signal });
    if (signal.aborted) return undefined;
    onCall("list", listedAtMs, listed.isOk());
    return listed.isOk()
      ? { range: listed.value, sentAtMs: listedAtMs }
      : undefined;
  }

  async #followSources(
    start: RecoveryStart,
    signal: AbortSignal,
    resolve: (recovery: Recovery) => void,
  ): Promise<void> {
    const followed = new Set<string>();
    do {
      for (const source of this.#plan().sources) {
        if (followed.has(source.instance)) continue;
        followed.add(source.instance);
        void this.#follow(source, start, signal, resolve);
      }
    } while (await pause(REPLAN_MS, signal));
  }

  async #follow(
    source: BackendRecord,
    start: RecoveryStart,
    signal: AbortSignal,
    resolve: (recovery: Recovery) => void,
  ): Promise<void> {
    const { afterRevision, era } = start;
    if (afterRevision === undefined) return;
    const { pollFeed } = this.#options;
    const { holdMs } = this.#plan();
    let pauseMs = 0;
    let waitMs = start.isCurrent ? holdMs : 0;
    while (await pause(pauseMs, signal)) {
      const poll = { afterRevision, waitMs, waitsForStore: true, era };
      const polled = await pollFeed(source, poll, signal);
      const isUseful = polled.kind === "changes" &&
        canFollow(polled.batch.era, era) &&
        (polled.viewAgeMs <= MAX_SOURCE_AGE_MS ||
          polled.batch.events.length > 0);
      if (isUseful) {
        const batch = { ...polled.batch, viewAgeMs: polled.viewAgeMs };
        return resolve({ kind: "followed", source: source.instance, batch });
      }
      if (polled.kind === "failed") {
        const untilMs = performance.now() + FAILED_TTL_MS;
        this.#failedUntilMs.set(source.instance, untilMs);
      }
      waitMs = holdMs;
      pauseMs = pauseAfter(polled.kind);
    }
  }
}

function pauseAfter(kind: FeedPollResult["kind"]): number {
  switch (kind) {
    case "changes":
    case "away":
      return AWAY_PAUSE_MS;
    case "refused":
      return REFUSED_PAUSE_MS;
    case "failed":
      return FAILED_PAUSE_MS;
  }
}

/** Sleeps; returns false if the signal has aborted. */
async function pause(delayMs: number, signal: AbortSignal): Promise<boolean> {
  try {
    await sleep(delayMs, undefined, { signal });
    return true;
  } catch {
    // Aborted, as the wait has ended.
    return false;
  }
}
