import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { StoreServer } from "../../fakes/store_server.ts";
import { until } from "../../testkit/until.ts";
import { MemberState } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { EtcdStore } from "../transport/store/etcd_store.ts";
import { createFleetBus } from "./fleet_bus.ts";
import { LeaseTask } from "./lease_task.ts";

const SLOT = "slots/reader/east/0";

let server: StoreServer;
let store: EtcdStore;
const tasks: LeaseTask[] = [];
/** Addresses of daemons that are known to be gone. */
const gone = new Set<string>();

test.before.each(async () => {
  server = new StoreServer({ writesPerSecond: 1e6, readsPerSecond: 1e6 });
  const port = await server.listen(0);
  store = new EtcdStore([`127.0.0.1:${port}`], {
    callsPerSecond: 1_000,
    timeoutMs: 300,
  });
});

test.after.each(async () => {
  await Promise.all(tasks.splice(0).map((task) => task.stop()));
  await store.close();
  await server.close();
});

/** Starts the task of a daemon that knows no other members. */
function startTask(selfId: string): LeaseTask {
  const task: LeaseTask = new LeaseTask({
    selfId,
    address: `${selfId}:1`,
    slots: [{ name: SLOT, domain: "east" }],
    ttlS: 1,
    store,
    bus: createFleetBus(),
    log: new EventLog({ level: "none", file: "/dev/null" }),
    members: () => [{
      id: selfId,
      domain: "east",
      leasedSlots: task.held.map((slot) => slot.name),
      state: MemberState.ALIVE,
    }],
    isGone: (address) => gone.has(address),
  });
  tasks.push(task);
  task.start();
  return task;
}

test("a daemon that holds no slot makes no lease calls", async () => {
  const holder = startTask("a");
  await until(() => holder.held.length === 1, "the slot is held");
  const other = startTask("b");
  await sleep(2_500);
  assert.is(other.held.length, 0);
  const leases = new Set(server.data.range("", "/w==").map((one) => one.lease));
  assert.is(leases.size, 1);
  const before = server.counts.writes;
  await sleep(1_000);
  // Only the holder renews its lease, every third of a second.
  assert.ok(server.counts.writes - before <= 4);
});

test("a slot whose acquisition is ambiguous is free again within its lease", async () => {
  server.faults.lostAnswers = 1;
  const task = startTask("a");
  await until(() => server.faults.lostAnswers === 0, "an answer is lost");
  assert.is(task.held.length, 0);
  await until(() => task.held.length === 1, "the slot is held", 12_000);
});

test("the slot of a dead daemon is taken over before its lease expires", async () => {
  const leaseId = (await store.grantLease(600))._unsafeUnwrap();
  await store.commit({
    conditions: [],
    writes: [{ kind: "put", key: SLOT, value: "dead:1", leaseId }],
  });
  const task = startTask("a");
  await sleep(1_500);
  assert.is(task.held.length, 0);
  gone.add("dead:1");
  await until(() => task.held.length === 1, "the slot is taken over");
});

test("a holder whose lease expired drops its epoch", async () => {
  const task = startTask("a");
  await until(() => task.held.length === 1, "the slot is held");
  const epoch = task.held[0]!.epoch;
  server.data.expireAll();
  await until(
    () => task.held.every((slot) => slot.epoch > epoch),
    "the old epoch is dropped",
  );
});

test.run();
