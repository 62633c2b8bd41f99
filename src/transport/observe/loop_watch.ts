import type { EventLog } from "./event_log.ts";
import type { TextMetrics } from "./text_metrics.ts";

/** Pause between two looks at the clock, in ms. */
const PERIOD_MS = 100;
/** Delay of a look from which on the process counts as held up, in ms. */
const HELD_UP_MS = 100;

/** Where a {@linkcode LoopWatch} tells what it finds. */
export interface LoopWatchOptions {
  readonly log: EventLog;
  readonly metrics: TextMetrics;
}

/**
 * Notices when the process is held up: it lacks processor time, or one piece of
 * work keeps all others from running.
 *
 * @example
 * ```ts ignore
 * const watch = new LoopWatch({ log, metrics });
 * watch.start();
 * ```
 */
export class LoopWatch {
  readonly #options: LoopWatchOptions;
  #timer: NodeJS.Timeout | undefined;
  #lookedAtMs = performance.now();

  /**
   * Creates a watch that does not look yet.
   *
   * @param options Log and metrics.
   */
  constructor(options: LoopWatchOptions) {
    this.#options = options;
  }

  /** Starts to look at the clock; does not keep the process alive. */
  start(): void {
    this.#lookedAtMs = performance.now();
    this.#timer = setInterval(() => this.#look(), PERIOD_MS).unref();
  }

  /** Ends it. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #look(): void {
    const nowMs = performance.now();
    const delayMs = nowMs - this.#lookedAtMs - PERIOD_MS;
    this.#lookedAtMs = nowMs;
    if (delayMs < HELD_UP_MS) return;
    this.#options.metrics.observe("held_up_ms", delayMs);
    this.#options.log.warn("daemon-held-up", { delayMs: Math.round(delayMs) });
  }
}
