import { performance } from "node:perf_hooks";
import type { Clocks } from "../coordination/membership/membership.ts";

/**
 * Reads the wall clock and the monotonic clock.
 *
 * @returns Wall-clock and monotonic time.
 *
 * @example
 * ```ts
 * readClocks().wallMs > 0; // true
 * ```
 */
export function readClocks(): Clocks {
  return { wallMs: Date.now(), monotonicMs: performance.now() };
}

/**
 * Returns the monotonic time.
 *
 * @returns Milliseconds since the process start.
 *
 * @example
 * ```ts
 * monotonicMs() >= 0; // true
 * ```
 */
export function monotonicMs(): number {
  return performance.now();
}
