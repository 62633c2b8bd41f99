import { LRUCache } from "lru-cache";

/** Most organisations without a waiting transfer that are remembered. */
const MAX_FINISHED = 512;
/** Flow of the transfers without an organisation. */
const NO_ORGANISATION = "";

/** A transfer that waits for a slow link. */
export interface QueuedTransfer {
  /** Size that counts against its organisation, in bytes; above 0. */
  readonly costBytes: number;
  /** Organisation of the caller, if it has one. */
  readonly organisation?: string | undefined;
  /** Rank of the organisation; 0 is the most urgent. */
  readonly organisationPriority?: number | undefined;
  /** Rank of the route; 0 is the most urgent. */
  readonly priority?: number | undefined;
  /**
   * Monotonic time of its objective, in ms; of one organisation's transfers of
   * the same rank, the earlier goes first. Without it, they go by arrival.
   */
  readonly objectiveAtMs?: number | undefined;
  /** Whether a running request probably waits for it. */
  readonly isSubcall?: boolean | undefined;
  /** Whether it settles what its organisation is owed. */
  readonly isOwed?: boolean | undefined;
}

/** The place of a waiting transfer among the others. */
export interface TransferPlace<T extends QueuedTransfer> {
  /** Transfers that would be taken before it, in no particular order. */
  readonly ahead: readonly T[];
  /** Transfers that would be taken after it, in this order. */
  readonly behind: readonly T[];
  /** Virtual time until it starts, in bytes. */
  readonly startsInBytes: number;
}

interface Entry<T extends QueuedTransfer> {
  readonly transfer: T;
  /** Position in the order of arrival. */
  readonly sequence: number;
}

/** Waiting transfers of one organisation. */
interface Flow<T extends QueuedTransfer> {
  /** Virtual time at which the first one starts, in bytes. */
  startBytes: number;
  /** By the rank of the route, then by objective or arrival. */
  readonly entries: Entry<T>[];
}

interface Placed<T extends QueuedTransfer> {
  readonly entry: Entry<T>;
  /** Virtual time of its start, in bytes. */
  readonly startBytes: number;
}

/**
 * Orders the transfers over a slow link so that the organisations with a backlog
 * get equal shares of it, by cost (start-time fair queueing).
 *
 * Each transfer starts at a virtual time: the current one, or the end of its
 * organisation's previous transfer if that is later. The first transfer of an
 * organisation therefore starts ahead of the backlogs of the others. Transfers
 * of one organisation, and all without one, go in the order of the routes'
 * ranks, then of their objectives or of arrival. Calls of running requests and
 * transfers that are owed start at the current virtual time.
 *
 * A transfer may be added before it can be taken, so that it has its place
 * already. The others go ahead of it until then.
 *
 * @example
 * ```ts
 * const queue = new TransferQueue<QueuedTransfer>();
 * queue.add({ costBytes: 80_000, organisation: "a" });
 * queue.add({ costBytes: 90_000, organisation: "a" });
 * queue.add({ costBytes: 70_000, organisation: "b" });
 * queue.takeNext()?.costBytes; // 80_000
 * queue.takeNext()?.costBytes; // 70_000
 * ```
 */
export class TransferQueue<T extends QueuedTransfer> {
  /** Organisations with waiting transfers. */
  readonly #flows = new Map<string, Flow<T>>();
  /** Virtual times at which the last transfers of other organisations end. */
  readonly #finished = new LRUCache<string, number>({ max: MAX_FINISHED });
  /** Transfers that are not part of a backlog: calls, and what is owed. */
  readonly #apart: Placed<T>[] = [];
  #virtualBytes = 0;
  #sequence = 0;
  #size = 0;

  /** Virtual time: the start of the newest transfer that was taken, in bytes. */
  get virtualBytes(): number {
    return this.#virtualBytes;
  }

  /** Number of waiting transfers. */
  get size(): number {
    return this.#size;
  }

  /**
   * Adds a transfer.
   *
   * @param transfer The transfer.
   */
  add(transfer: T): void {
    this.#size++;
    const entry = { transfer, sequence: this.#sequence++ };
    if (isApart(transfer)) {
      this.#apart.push({ entry, startBytes: this.#virtualBytes });
      return;
    }
    const flow = this.#flowOf(transfer.organisation ?? NO_ORGANISATION);
    const { entries } = flow;
    const endBytes = entries.reduce(
      (atBytes, { transfer: { costBytes } }) => atBytes + costBytes,
      flow.startBytes,
    );
    // Otherwise, a backlog of transfers that cannot be taken yet would save up
    // the share that its organisation does not use meanwhile.
    flow.startBytes += Math.max(0, this.#virtualBytes - endBytes);
    let index = entries.length;
    while (index > 0 && goesBefore(transfer, entries[index - 1]!.transfer)) {
      index--;
    }
    entries.splice(index, 0, entry);
  }

  /**
   * Returns the transfer that would be taken next.
   *
   * @param isReady Whether a transfer can be taken.
   * @returns The transfer; `undefined` if none can be taken.
   */
  peekNext(isReady: (transfer: T) => boolean): T | undefined {
    return this.#findNext(isReady)?.entry.transfer;
  }

  /**
   * Takes the next transfer.
   *
   * @param isReady Whether a transfer can be taken; all can by default.
   * @returns The transfer; `undefined` if none can be taken.
   */
  takeNext(isReady: (transfer: T) => boolean = () => true): T | undefined {
    const next = this.#findNext(isReady);
    if (next === undefined) return undefined;
    this.#virtualBytes = Math.max(this.#virtualBytes, next.startBytes);
    const { transfer } = next.entry;
    this.#detach(next.entry, true);
    return transfer;
  }

  /**
   * Removes the transfers that meet a condition.
   *
   * @param isRemoved The condition.
   * @returns The removed transfers, in the order of arrival.
   */
  removeWhere(isRemoved: (transfer: T) => boolean): readonly T[] {
    const removed = this.#entries().filter(({ transfer }) =>
      isRemoved(transfer)
    );
    for (const entry of removed) this.#detach(entry, false);
    return removed.sort((a, b) => a.sequence - b.sequence)
      .map(({ transfer }) => transfer);
  }

  /** Returns the waiting transfers, in no particular order. */
  transfers(): readonly T[] {
    return this.#entries().map(({ transfer }) => transfer);
  }

  /**
   * Returns the place of a waiting transfer in the order in which the transfers
   * would be taken.
   *
   * @param transfer The transfer.
   * @returns The place.
   */
  placeOf(transfer: T): TransferPlace<T> {
    const placed = this.#place();
    const own = placed.find(({ entry }) => entry.transfer === transfer)!;
    const ahead: T[] = [];
    const behind: Placed<T>[] = [];
    for (const other of placed) {
      if (other === own) continue;
      if (compare(other, own) < 0) ahead.push(other.entry.transfer);
      else behind.push(other);
    }
    return {
      ahead,
      behind: behind.sort(compare).map(({ entry }) => entry.transfer),
      startsInBytes: own.startBytes - this.#virtualBytes,
    };
  }

  #place(): readonly Placed<T>[] {
    const placed = [...this.#apart];
    for (const { startBytes, entries } of this.#flows.values()) {
      let atBytes = startBytes;
      for (const entry of entries) {
        placed.push({ entry, startBytes: atBytes });
        atBytes += entry.transfer.costBytes;
      }
    }
    return placed;
  }

  #findNext(isReady: (transfer: T) => boolean): Placed<T> | undefined {
    let next: Placed<T> | undefined;
    for (const placed of this.#apart) {
      if (!isReady(placed.entry.transfer)) continue;
      if (next === undefined || compare(placed, next) < 0) next = placed;
    }
    for (const { startBytes, entries } of this.#flows.values()) {
      const entry = entries.find(({ transfer }) => isReady(transfer));
      if (entry === undefined) continue;
      const placed = { entry, startBytes };
      if (next === undefined || compare(placed, next) < 0) next = placed;
    }
    return next;
  }

  #flowOf(organisation: string): Flow<T> {
    const known = this.#flows.get(organisation);
    if (known !== undefined) return known;
    const startBytes = Math.max(
      this.#virtualBytes,
      this.#finished.get(organisation) ?? 0,
    );
    const flow = { startBytes, entries: [] };
    this.#flows.set(organisation, flow);
    return flow;
  }

  /** A transfer that was not taken leaves its organisation's share unused. */
  #detach(entry: Entry<T>, isTaken: boolean): void {
    const { transfer } = entry;
    this.#size--;
    if (isApart(transfer)) {
      const index = this.#apart.findIndex((placed) => placed.entry === entry);
      this.#apart.splice(index, 1);
      return;
    }
    const organisation = transfer.organisation ?? NO_ORGANISATION;
    const flow = this.#flows.get(organisation)!;
    flow.entries.splice(flow.entries.indexOf(entry), 1);
    if (isTaken) flow.startBytes += transfer.costBytes;
    if (flow.entries.length > 0) return;
    this.#flows.delete(organisation);
    this.#finished.set(organisation, flow.startBytes);
  }

  #entries(): readonly Entry<T>[] {
    return [
      ...this.#apart.map(({ entry }) => entry),
      ...[...this.#flows.values()].flatMap(({ entries }) => entries),
    ];
  }
}

function isApart({ isSubcall, isOwed }: QueuedTransfer): boolean {
  return isSubcall === true || isOwed === true;
}

/** Whether a new transfer goes before an earlier one of its organisation. */
function goesBefore(added: QueuedTransfer, other: QueuedTransfer): boolean {
  const ranks = (added.priority ?? 0) - (other.priority ?? 0);
  if (ranks !== 0) return ranks < 0;
  return (added.objectiveAtMs ?? 0) < (other.objectiveAtMs ?? 0);
}

/**
 * Of transfers with the same start, what is owed goes last, as it belongs to an
 * organisation with a backlog, and then the more urgent rank goes first.
 */
function compare<T extends QueuedTransfer>(a: Placed<T>, b: Placed<T>): number {
  const [first, second] = [a.entry.transfer, b.entry.transfer];
  return a.startBytes - b.startBytes ||
    Number(first.isOwed === true) - Number(second.isOwed === true) ||
    (first.organisationPriority ?? 0) - (second.organisationPriority ?? 0) ||
    (first.priority ?? 0) - (second.priority ?? 0) ||
    Number(second.isSubcall === true) - Number(first.isSubcall === true) ||
    a.entry.sequence - b.entry.sequence;
}
