import { StatsD } from "hot-shots";

/** Largest datagram, in bytes. */
const MAX_DATAGRAM_BYTES = 1_400;

/** Counters, gauges and timings of a daemon. */
export interface Metrics {
  /** Adds to a counter. */
  count(name: string, value?: number, tags?: readonly string[]): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, tags?: readonly string[]): void;
  /** Records a duration in ms. */
  timing(name: string, valueMs: number, tags?: readonly string[]): void;
  /** Sends the buffered metrics and closes the client. */
  close(): void;
}

const NO_METRICS: Metrics = {
  count: () => {},
  gauge: () => {},
  timing: () => {},
  close: () => {},
};

/**
 * Opens the metrics of a daemon.
 *
 * @param target Address of the StatsD server; nothing is sent if `undefined`.
 * @param instance Name of the instance, added as a tag to each metric.
 * @returns The metrics.
 *
 * @example
 * ```ts
 * openMetrics(undefined, "east-1").count("calls");
 * ```
 */
export function openMetrics(
  target: { readonly host: string; readonly port: number } | undefined,
  instance: string,
): Metrics {
  if (target === undefined) return NO_METRICS;
  const client = new StatsD({
    host: target.host,
    port: target.port,
    prefix: "sesamepond.",
    globalTags: { instance },
    maxBufferSize: MAX_DATAGRAM_BYTES,
    errorHandler: () => {},
  });
  return {
    count: (name, value = 1, tags = []) =>
      client.increment(name, value, [...tags]),
    gauge: (name, value, tags = []) => client.gauge(name, value, [...tags]),
    timing: (name, valueMs, tags = []) =>
      client.timing(name, valueMs, [...tags]),
    close: () => client.close(() => {}),
  };
}
