import { StoreContact } from "../state/store_contact.ts";
import { ViewAge } from "../state/view_age.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";

/** Options of a {@linkcode StoreConnection}. */
export interface StoreConnectionOptions {
  readonly log: EventLog;
  readonly metrics: TextMetrics;
  /** Called each time the view was complete. */
  readonly onConfirmed: () => void;
}

/**
 * Tracks whether the store answers, and how old this daemon's view of it is.
 *
 * @example
 * ```ts ignore
 * connection.markConnected(performance.now());
 * ```
 */
export class StoreConnection {
  readonly #options: StoreConnectionOptions;
  readonly #contact = new StoreContact(performance.now());
  /** Age of the view of all keys. */
  readonly #view = new ViewAge();
  /** Age of the view of the configuration, which is also read by itself. */
  readonly #configView = new ViewAge();
  /** Resolves once a store that is lost has been regained. */
  #regained: Promise<void> | undefined;
  #resolveRegained: (() => void) | undefined;

  /**
   * Creates a connection that counts as lost.
   *
   * @param options Log and metrics.
   */
  constructor(options: StoreConnectionOptions) {
    this.#options = options;
  }

  /** Whether the store is taken to answer. */
  get isConnected(): boolean {
    return this.#contact.isConnected;
  }

  /**
   * Returns the time since this daemon's view of the store was last known to be
   * complete. It leaves out the transit of the response that said so.
   *
   * @returns The age, in ms; infinite before the first response.
   */
  ageMs(): number {
    return this.#view.ageMs(performance.now());
  }

  /**
   * Returns the time since the configuration was last known to be the newest.
   *
   * @returns The age, in ms; infinite before the first response.
   */
  configAgeMs(): number {
    const nowMs = performance.now();
    return Math.min(this.#view.ageMs(nowMs), this.#configView.ageMs(nowMs));
  }

  /**
   * Records that the configuration was the newest.
   *
   * @param atMs Monotonic time at which it was, in ms.
   */
  confirmConfig(atMs: number): void {
    this.#configView.confirm(atMs);
  }

  /** Records that the store no longer answers. */
  lose(): void {
    this.#contact.lose();
  }

  /** Resolves once the view is complete again. */
  waitForRegain(): Promise<void> {
    this.#regained ??= new Promise((resolve) => {
      this.#resolveRegained = resolve;
    });
    return this.#regained;
  }

  /**
   * Counts a call of the store.
   *
   * @param call Name of the call.
   * @param sentAtMs Monotonic time at which it was sent, in ms.
   * @param isOk Whether it was answered.
   */
  countCall(call: string, sentAtMs: number, isOk: boolean): void {
    const result = isOk ? "ok" : "failed";
    const nowMs = performance.now();
    const { log, metrics } = this.#options;
    metrics.count("store_calls_total", { call, result });
    if (isOk) return this.#contact.recordAnswer(nowMs);
    log.info("store-call-failed", {
      call,
      tookMs: Math.round(nowMs - sentAtMs),
      awayMs: Math.round(this.#contact.awayMs(nowMs)),
    });
  }

  /**
   * Records that the view was complete.
   *
   * @param completeAtMs Monotonic time at which it was, in ms.
   */
  markConnected(completeAtMs: number): void {
    const nowMs = performance.now();
    this.#view.confirm(completeAtMs);
    const returned = this.#contact.regain(nowMs);
    this.#options.onConfirmed();
    this.#resolveRegained?.();
    this.#regained = undefined;
    if (returned === undefined) return;
    const { log, metrics } = this.#options;
    metrics.observe("store_answered_unnoticed_ms", returned.answeredForMs);
    log.info("store-regained", {
      awayMs: Math.round(returned.awayMs),
      answeredForMs: Math.round(returned.answeredForMs),
    });
  }
}
