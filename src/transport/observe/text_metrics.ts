/** Upper bounds of the latency buckets, in ms. */
const BUCKETS_MS = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000];
const PREFIX = "sesamepond_";

/** Labels of one series. */
export type Labels = Readonly<Record<string, string>>;

interface Counter {
  /** Name and labels in the output format. */
  readonly series: string;
  value: number;
}

interface Histogram {
  readonly counts: number[];
  sumMs: number;
  total: number;
}

/**
 * Counters, gauges and latency histograms in a text exposition format.
 *
 * @example
 * ```ts
 * const metrics = new TextMetrics();
 * metrics.count("requests_total", { result: "answered" });
 * metrics.text(); // 'sesamepond_requests_total{result="answered"} 1\n'
 * ```
 */
export class TextMetrics {
  readonly #counters = new Map<string, Counter>();
  readonly #histograms = new Map<string, Histogram>();
  readonly #gauges = new Map<string, () => number>();

  /**
   * Adds to a counter.
   *
   * @param name Name without prefix.
   * @param labels Labels of the series.
   * @param by The increment.
   */
  count(name: string, labels: Labels = {}, by = 1): void {
    let key = name;
    for (const label in labels) key += `\n${label}\n${labels[label]}`;
    const counter = this.#counters.get(key);
    if (counter !== undefined) counter.value += by;
    else this.#counters.set(key, { series: seriesOf(name, labels), value: by });
  }

  /**
   * Adds a duration to a histogram.
   *
   * @param name Name without prefix; ends in `_ms`.
   * @param valueMs The duration, in ms.
   */
  observe(name: string, valueMs: number): void {
    let histogram = this.#histograms.get(name);
    if (histogram === undefined) {
      histogram = { counts: BUCKETS_MS.map(() => 0), sumMs: 0, total: 0 };
      this.#histograms.set(name, histogram);
    }
    const bucket = BUCKETS_MS.findIndex((boundMs) => valueMs <= boundMs);
    if (bucket >= 0) histogram.counts[bucket]!++;
    histogram.sumMs += valueMs;
    histogram.total++;
  }

  /**
   * Registers a gauge that is read for each output.
   *
   * @param name Name without prefix.
   * @param read Returns the current value.
   */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(PREFIX + name, read);
  }

  /** Returns each counter's sum over all labels, by name without prefix. */
  totals(): ReadonlyMap<string, number> {
    const totals = new Map<string, number>();
    for (const { series, value } of this.#counters.values()) {
      const name = series.slice(PREFIX.length).split("{", 1)[0]!;
      totals.set(name, (totals.get(name) ?? 0) + value);
    }
    return totals;
  }

  /** Returns all series, one per line. */
  text(): string {
    const lines: string[] = [];
    for (const { series, value } of this.#counters.values()) {
      lines.push(`${series} ${value}`);
    }
    for (const [name, read] of this.#gauges) lines.push(`${name} ${read()}`);
    for (const [name, histogram] of this.#histograms) {
      lines.push(...histogramLines(name, histogram));
    }
    return lines.map((line) => `${line}\n`).join("");
  }
}

function histogramLines(name: string, histogram: Histogram): string[] {
  let cumulative = 0;
  const buckets = BUCKETS_MS.map((boundMs, index) => {
    cumulative += histogram.counts[index]!;
    return `${PREFIX}${name}_bucket{le="${boundMs}"} ${cumulative}`;
  });
  return [
    ...buckets,
    `${PREFIX}${name}_bucket{le="+Inf"} ${histogram.total}`,
    `${PREFIX}${name}_sum ${histogram.sumMs.toFixed(1)}`,
    `${PREFIX}${name}_count ${histogram.total}`,
  ];
}

function seriesOf(name: string, labels: Labels): string {
  const pairs = Object.entries(labels).map(([label, value]) =>
    `${label}=${JSON.stringify(value)}`
  );
  return pairs.length === 0
    ? PREFIX + name
    : `${PREFIX}${name}{${pairs.join(",")}}`;
}
