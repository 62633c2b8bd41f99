import { setTimeout as sleep } from "node:timers/promises";

/** Time between two looks at a condition, in ms. */
const PERIOD_MS = 20;

/**
 * Waits until a condition holds.
 *
 * @param check The condition.
 * @param what Its name for the error.
 * @param timeoutMs Longest time to wait.
 */
export async function until(
  check: () => Promise<boolean> | boolean,
  what: string,
  timeoutMs = 10_000,
): Promise<void> {
  const deadlineMs = Date.now() + timeoutMs;
  while (!await check()) {
    if (Date.now() > deadlineMs) {
      throw new Error(`Cannot wait for "${what}": ${timeoutMs} ms passed`);
    }
    await sleep(PERIOD_MS);
  }
}
