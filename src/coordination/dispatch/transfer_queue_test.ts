import { test } from "uvu";
import * as assert from "uvu/assert";
import { type QueuedTransfer, TransferQueue } from "./transfer_queue.ts";

interface NamedTransfer extends QueuedTransfer {
  readonly id: string;
}

function queueOf(
  transfers: readonly NamedTransfer[],
): TransferQueue<NamedTransfer> {
  const queue = new TransferQueue<NamedTransfer>();
  for (const transfer of transfers) queue.add(transfer);
  return queue;
}

function backlogOf(
  organisation: string,
  count: number,
  costBytes = 1_000,
): NamedTransfer[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${organisation}${index}`,
    costBytes,
    organisation,
  }));
}

function takeIds(queue: TransferQueue<NamedTransfer>, count: number): string {
  return Array.from({ length: count }, () => queue.takeNext()?.id ?? "-")
    .join(" ");
}

// Load: one organisation with a backlog, and one that sends its first transfer.
test("takeNext() takes the first transfer of an organisation before a backlog", () => {
  const queue = queueOf(backlogOf("large", 50));
  takeIds(queue, 10);
  queue.add({ id: "small", costBytes: 540_000, organisation: "small" });
  assert.is(takeIds(queue, 2), "small large10");
});

// Load: two organisations with backlogs, of which one sends bodies of ten times
// the size. Counting transfers would give it ten times the bytes.
test("takeNext() shares by bytes", () => {
  const queue = queueOf([
    ...backlogOf("long", 20, 10_000),
    ...backlogOf("short", 60, 1_000),
  ]);
  const taken = takeIds(queue, 33).split(" ");
  const longs = taken.filter((id) => id.startsWith("long"));
  assert.equal([longs.length, taken.length], [3, 33]);
});

test("takeNext() goes by rank of organisation and route among equals", () => {
  const queue = queueOf([
    { id: "b", costBytes: 1, organisation: "b", organisationPriority: 1 },
    { id: "a2", costBytes: 1, organisation: "a", priority: 2 },
    { id: "c1", costBytes: 1, organisation: "c", priority: 1 },
    { id: "a0", costBytes: 1, organisation: "a", priority: 0 },
    { id: "urgent", costBytes: 1, priority: 0, isSubcall: true },
  ]);
  const expected = "urgent a0 c1 b a2";
  assert.is(takeIds(queue, 6), `${expected} -`);
});

test("placeOf() tells what goes before and after a transfer", () => {
  const own = { id: "own", costBytes: 1_000, organisation: "b" };
  const queue = queueOf([...backlogOf("a", 3), ...backlogOf("b", 1), own]);
  const { ahead, behind, startsInBytes } = queue.placeOf(own);
  assert.equal({
    ahead: ahead.map(({ id }) => id).sort(),
    behind: behind.map(({ id }) => id),
    startsInBytes,
  }, { ahead: ["a0", "a1", "b0"], behind: ["a2"], startsInBytes: 1_000 });
});

// Failure: an organisation pays with its share for transfers that never took
// place.
test("removeWhere() gives the share of removed transfers back", () => {
  const queue = queueOf([...backlogOf("a", 6), ...backlogOf("b", 3)]);
  const removed = queue.removeWhere(({ id }) => /a[0-3]/.test(id));
  const { size } = queue;
  const order = takeIds(queue, 5);
  assert.equal([removed.length, size, order], [4, 5, "a4 b0 a5 b1 b2"]);
});

// Load: 5,000 organisations, each with one transfer. Failure: memory that grows
// with the organisations that were ever seen, or a share that is saved up.
test("takeNext() favours no organisation for having been idle", () => {
  const queue = queueOf(backlogOf("busy", 5));
  takeIds(queue, 5);
  for (let index = 0; index < 5_000; index++) {
    queue.add({ id: `${index}`, costBytes: 1_000, organisation: `${index}` });
    queue.takeNext();
  }
  for (const transfer of backlogOf("idle", 10)) queue.add(transfer);
  for (const transfer of backlogOf("busy", 10)) queue.add(transfer);
  assert.is(takeIds(queue, 6), "idle0 busy0 idle1 busy1 idle2 busy2");
});

// Load: one organisation with a backlog of which only the last can be taken, and
// one whose transfers can all be taken.
test("takeNext() takes what is ready, at the place of its organisation", () => {
  const queue = queueOf([...backlogOf("a", 3), ...backlogOf("b", 3)]);
  const isReady = ({ id }: NamedTransfer) => /^b|a2/.test(id);
  const ids = Array.from({ length: 5 }, () => queue.takeNext(isReady)?.id);
  assert.equal([...ids, queue.size], ["a2", "b0", "b1", "b2", undefined, 2]);
});

// Load: an organisation that always has transfers that cannot be taken yet.
// Failure: it saves up the share that it does not use meanwhile.
test("add() starts no transfer before the current virtual time", () => {
  const queue = queueOf(backlogOf("idle", 1));
  for (const transfer of backlogOf("busy", 50)) queue.add(transfer);
  for (let index = 0; index < 50; index++) {
    queue.takeNext(({ organisation }) => organisation === "busy");
  }
  for (const transfer of backlogOf("idle", 8)) queue.add(transfer);
  for (const transfer of backlogOf("busy", 8)) queue.add(transfer);
  assert.is(takeIds(queue, 6), "idle0 idle0 idle1 busy0 idle2 busy1");
});

test("add() goes by objective within an organisation and rank", () => {
  const queue = queueOf([
    { id: "late", costBytes: 1, objectiveAtMs: 900 },
    { id: "early", costBytes: 1, objectiveAtMs: 300 },
    { id: "urgent", costBytes: 1, objectiveAtMs: 950, priority: -1 },
  ]);
  assert.is(takeIds(queue, 3), "urgent early late");
});

test.run();
