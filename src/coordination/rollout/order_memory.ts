import type { RolloutOrder, RolloutRecord } from "../../protocol/rollout.ts";

/** Number of former orders that are remembered. */
const MAX_FORMER = 16;

/** When an order was seen. */
interface OrderTime {
  readonly nowMs: number;
  readonly nowUnixMs: number;
}

/**
 * Knows the operator's order for one service and the orders before it.
 *
 * A store that was restored from a copy may have a former order again, until the
 * operator has written the newest one again.
 *
 * @example
 * ```ts ignore
 * orders.set(order, { nowMs, nowUnixMs }, false);
 * ```
 */
export class OrderMemory {
  #order: RolloutOrder | undefined;
  #isTakenUp = false;
  /** Monotonic time at which the order was seen, in ms. */
  #seenAtMs = 0;
  /** The same in Unix ms. */
  #seenAtUnixMs = 0;
  readonly #former = new Set<string>();

  /** The order, if there is one. */
  get order(): RolloutOrder | undefined {
    return this.#order;
  }

  /** Monotonic time at which it was seen, in ms. */
  get seenAtMs(): number {
    return this.#seenAtMs;
  }

  /** Unix time at which it was seen, in ms. */
  get seenAtUnixMs(): number {
    return this.#seenAtUnixMs;
  }

  /**
   * Learns of an order or of its removal.
   *
   * @param order The order, if there is one.
   * @param time When it was seen.
   * @param mayBeOutdated Whether it may come from the copy of a store that was
   * restored.
   * @returns False if it is a former order.
   */
  set(
    order: RolloutOrder | undefined,
    time: OrderTime,
    mayBeOutdated: boolean,
  ): boolean {
    const key = keyOf(order);
    const known = keyOf(this.#order);
    if (key === known) return true;
    if (mayBeOutdated && this.#former.has(key)) return false;
    this.#former.delete(key);
    this.#former.add(known);
    if (this.#former.size > MAX_FORMER) {
      this.#former.delete(this.#former.values().next().value!);
    }
    this.#order = order;
    this.#isTakenUp = false;
    this.#seenAtMs = time.nowMs;
    this.#seenAtUnixMs = time.nowUnixMs;
    return true;
  }

  /**
   * Learns a record, which may show that the order was taken up. It is not taken
   * up again once the record has moved on to a later order.
   *
   * @param record The record.
   */
  noteRecord(record: RolloutRecord): void {
    const order = this.#order;
    if (order === undefined) return;
    const { targetVersion, startedAtUnixMs, endsAtUnixMs } = record;
    this.#isTakenUp ||= targetVersion === order.targetVersion &&
      endsAtUnixMs - startedAtUnixMs === order.durationMs;
  }

  /** The order if it has not been taken up. */
  get open(): RolloutOrder | undefined {
    return this.#isTakenUp ? undefined : this.#order;
  }
}

function keyOf(order: RolloutOrder | undefined): string {
  return order === undefined
    ? ""
    : `${order.durationMs} ${order.targetVersion}`;
}
