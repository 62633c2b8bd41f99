import { setTimeout as sleep } from "node:timers/promises";

/** Interval between two checks of a condition, in ms. */
const POLL_INTERVAL_MS = 20;

/**
 * Waits until a condition holds.
 *
 * @param check Returns whether the condition holds.
 * @param description Name of the condition in the error message.
 * @param timeoutMs Maximum time to wait, in ms.
 * @throws {Error} If the condition does not hold in time.
 */
export async function until(
  check: () => Promise<boolean> | boolean,
  description: string,
  timeoutMs = 10_000,
): Promise<void> {
  const deadlineMs = Date.now() + timeoutMs;
  while (!await check()) {
    if (Date.now() > deadlineMs) {
      throw new Error(
        `Cannot wait for "${description}": ${timeoutMs} ms passed`,
      );
    }
    await sleep(POLL_INTERVAL_MS);
  }
}
