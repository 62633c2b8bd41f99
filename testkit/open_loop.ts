import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";

/** When an open loop sends. */
export interface OpenLoopPlan {
  readonly ratePerSecond: number;
  readonly durationMs: number;
}

/**
 * Sends at a fixed rate, whether or not earlier calls were answered.
 *
 * @param plan Rate and duration.
 * @param send Makes one call, numbered from 0.
 * @returns The results, once all calls ended.
 */
export async function openLoop<T>(
  plan: OpenLoopPlan,
  send: (number: number) => Promise<T>,
): Promise<T[]> {
  const startMs = performance.now();
  const total = Math.round(plan.ratePerSecond * plan.durationMs / 1_000);
  const running: Promise<T>[] = [];
  while (running.length < total) {
    const elapsedMs = performance.now() - startMs;
    const due = Math.min(
      total,
      Math.floor(elapsedMs * plan.ratePerSecond / 1_000) + 1,
    );
    while (running.length < due) running.push(send(running.length));
    await sleep(1);
  }
  return await Promise.all(running);
}
