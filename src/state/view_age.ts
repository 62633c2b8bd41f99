/**
 * Tracks how old this daemon's view of the store is.
 *
 * @example
 * ```ts
 * const view = new ViewAge();
 * view.confirm(1_000);
 * view.ageMs(1_400); // 400
 * ```
 */
export class ViewAge {
  #confirmedAtMs = -Infinity;

  /**
   * Records that the view was complete at some time.
   *
   * @param atMs Monotonic time, in ms; an earlier one than before is ignored.
   */
  confirm(atMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
  }

  /**
   * Returns the time since the view was last known to be complete.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The age, in ms; infinite before the first confirmation.
   */
  ageMs(nowMs: number): number {
    return nowMs - this.#confirmedAtMs;
  }
}
