import type { EventLog } from "../transport/observe/event_log.ts";
import { MAX_READER_AGE_MS } from "./feed_source.ts";
import type {
  Recovery,
  RecoveryStart,
  StoreRecovery,
} from "./store_recovery.ts";
import type { StoreView } from "./store_view.ts";

/** Time for which a doubted store is not yet taken for lost, in ms. */
const LOSS_DELAY_MS = 700;

/** Why the state of the store is not known. */
export interface StoreDoubt extends Omit<RecoveryStart, "isCurrent" | "era"> {
  readonly reason: string;
  /** Whether a call has failed, and not only taken long. */
  readonly isFailure: boolean;
  /** Monotonic times at which a pending poll was sent and its hold ends. */
  readonly sentAtMs?: number;
  readonly heldUntilMs?: number;
}

/** Options of a {@linkcode RecoveryRunner}. */
export interface RecoveryRunnerOptions {
  readonly recovery: Pick<StoreRecovery, "run">;
  readonly view: StoreView;
  readonly log: EventLog;
}

/**
 * Waits for a store that is doubted, takes it for lost if that lasts, and logs
 * what ended the doubt.
 *
 * @example
 * ```ts ignore
 * const recovery = await new RecoveryRunner(options).run(doubt, signal);
 * ```
 */
export class RecoveryRunner {
  readonly #options: RecoveryRunnerOptions;
  #isRunning = false;
  /** Daemon whose feed stands in for the store. */
  #standIn: string | undefined;

  /**
   * Creates a runner.
   *
   * @param options Recovery, view of the store and log.
   */
  constructor(options: RecoveryRunnerOptions) {
    this.#options = options;
  }

  /** Whether a store that is doubted is waited for. */
  get isRunning(): boolean {
    return this.#isRunning;
  }

  /**
   * Waits until the store or another daemon tells the current state.
   *
   * @param doubt Why the state is not known.
   * @param signal Stops the wait.
   * @returns How the state came.
   */
  async run(doubt: StoreDoubt, signal: AbortSignal): Promise<Recovery> {
    const { reason, isFailure, afterRevision, pending } = doubt;
    const { recovery, view, log } = this.#options;
    const doubtedAtMs = performance.now();
    const lose = () => {
      if (view.connection.isConnected) log.warn("store-lost", { reason });
      view.connection.lose();
      view.wakeFollowers();
    };
    const timer = setTimeout(lose, isFailure ? 0 : LOSS_DELAY_MS);
    this.#isRunning = true;
    const result = await recovery.run({
      afterRevision,
      era: view.era,
      ...(pending === undefined ? {} : { pending }),
      isCurrent: view.connection.ageMs() < MAX_READER_AGE_MS,
    }, signal);
    clearTimeout(timer);
    this.#isRunning = false;
    this.#logRecovery(result, doubtedAtMs);
    return result;
  }

  /** Logs what ended a doubt; a stand-in that is followed on only once. */
  #logRecovery(recovery: Recovery, doubtedAtMs: number): void {
    const source = recovery.kind === "followed" ? recovery.source : undefined;
    const isSame = source !== undefined && source === this.#standIn;
    this.#standIn = source;
    if (isSame) return;
    this.#options.log.info("store-recovery", {
      by: recovery.kind,
      ...(source === undefined ? {} : { source }),
      tookMs: Math.round(performance.now() - doubtedAtMs),
    });
  }
}
