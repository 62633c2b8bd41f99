import process from "node:process";
import type { EventLog, LogFields } from "./event_log.ts";
import type { TextMetrics } from "./text_metrics.ts";

/** Interval between two reports, in ms. */
const REPORT_PERIOD_MS = 5_000;
const US_PER_MS = 1_000;
const BYTES_PER_MB = 1024 * 1024;

/**
 * Periodically logs the process's CPU time and the growth of its counters, so
 * that CPU time can be attributed to work.
 *
 * @example
 * ```ts ignore
 * const report = new UsageReport(log, metrics);
 * report.start();
 * ```
 */
export class UsageReport {
  readonly #log: EventLog;
  readonly #metrics: TextMetrics;
  #usage = process.cpuUsage();
  #totals: ReadonlyMap<string, number> = new Map();
  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates a report that is not started yet.
   *
   * @param log Log that receives the reports.
   * @param metrics Counters whose growth is reported.
   */
  constructor(log: EventLog, metrics: TextMetrics) {
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Starts the reports; does not keep the process alive. */
  start(): void {
    this.#timer = setInterval(() => this.#write(), REPORT_PERIOD_MS).unref();
  }

  /** Writes a last report and stops. */
  stop(): void {
    clearInterval(this.#timer);
    this.#write();
  }

  #write(): void {
    const usage = process.cpuUsage();
    const userUs = usage.user - this.#usage.user;
    const systemUs = usage.system - this.#usage.system;
    this.#usage = usage;
    this.#log.info("daemon-usage", {
      userMs: Math.round(userUs / US_PER_MS),
      systemMs: Math.round(systemUs / US_PER_MS),
      memoryMb: Math.round(process.memoryUsage.rss() / BYTES_PER_MB),
      ...this.#counterGrowth(),
    });
  }

  /** Returns the growth of each counter, summed over its labels. */
  #counterGrowth(): LogFields {
    const before = this.#totals;
    this.#totals = this.#metrics.totals();
    const growth: Record<string, number> = {};
    for (const [name, total] of this.#totals) {
      const by = total - (before.get(name) ?? 0);
      if (by > 0) growth[name] = by;
    }
    return growth;
  }
}
