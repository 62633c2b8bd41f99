import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";

/** Rate and duration of an open loop. */
export interface OpenLoopPlan {
  readonly ratePerSecond: number;
  readonly durationMs: number;
}

/**
 * Sends calls at a fixed rate without waiting for earlier ones to end.
 *
 * @param plan Rate and duration.
 * @param send Sends one call, numbered from 0.
 * @returns The results, once all calls have ended.
 */
export async function openLoop<T>(
  plan: OpenLoopPlan,
  send: (number: number) => Promise<T>,
): Promise<T[]> {
  const startMs = performance.now();
  const total = Math.round(plan.ratePerSecond * plan.durationMs / 1_000);
  const pending: Promise<T>[] = [];
  while (pending.length < total) {
    const elapsedMs = performance.now() - startMs;
    const dueCount = Math.min(
      total,
      Math.floor(elapsedMs * plan.ratePerSecond / 1_000) + 1,
    );
    while (pending.length < dueCount) pending.push(send(pending.length));
    await sleep(1);
  }
  return await Promise.all(pending);
}
