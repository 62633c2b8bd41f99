import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  call,
  createIdempotencyKey,
  placeOrder,
} from "../../testkit/caller.ts";
import {
  type CallRecord,
  checkAtMostOnce,
  checkNoDispatchesAfterLeaving,
  checkNoInterruptions,
  checkNotRun,
  checkResponseBodies,
} from "../../testkit/checkers.ts";
import {
  fetchLiveMembers,
  Fleet,
  type Instance,
  startBackendProcess,
} from "../../testkit/fleet.ts";
import { openLoop } from "../../testkit/open_loop.ts";
import { sampleSource, VENDOR_TOKEN } from "../../testkit/sample_config.ts";
import { until } from "../../testkit/until.ts";

/** Time after which a leaving backend server gets no new work, in ms. */
const LEAVE_GRACE_MS = 3_000;

let fleet: Fleet;

test.before(async () => {
  fleet = await Fleet.start({
    network: 13,
    source: sampleSource(),
    isBackendInProcess: false,
    behaviour: { slots: 10 },
    domains: [
      { name: "east", services: ["lookup", "lookup", "order", "proof"] },
      { name: "west", services: ["lookup", "order", "proof"] },
    ],
  });
});

test.after(async () => {
  await fleet.close();
});

// Guards against failures that follow from the failure of an earlier test: a
// daemon that it had stopped was missing, and the fleet did not converge.
test.before.each(async () => {
  await fleet.recover();
});

/** Sends lookups at a fixed rate through some daemons. */
async function sendLookups(
  instances: readonly Instance[],
  plan: { ratePerSecond: number; durationMs: number },
): Promise<CallRecord[]> {
  return await openLoop(plan, async (number) => {
    const path = `/lookup/echo/${number}`;
    const { daemon } = instances[number % instances.length]!;
    const expected = `question ${number}`;
    const sentAtMs = Date.now();
    const answer = await call(daemon.ingress, path, {
      method: "POST",
      body: expected,
    });
    return { answer, path, sentAtMs, expected };
  });
}

async function fetchMemberId(instance: Instance): Promise<string> {
  const page = await instance.daemon.fetchPage<{ self: string }>("/members");
  return page.self;
}

function calculateServedShare(records: readonly CallRecord[]): number {
  const served = records.filter(({ answer }) => answer.status === 200);
  return served.length / records.length;
}

/** Counts the calls that were not served, by reason. */
function countUnserved(records: readonly CallRecord[]): string {
  const counts: Record<string, number> = {};
  for (const { answer } of records) {
    if (answer.status === 200) continue;
    const reason = `${answer.status} ${answer.outcome} ${answer.reason}`;
    counts[reason] = (counts[reason] ?? 0) + 1;
  }
  return JSON.stringify(counts);
}

// Guards against attempts for callers that closed their connections while the
// ingress daemon had no processor time.
test("a daemon that was paused makes no attempt for callers that disconnected", async () => {
  const [{ daemon }] = fleet.ofService("proof") as [Instance];
  const [host, port] = daemon.ingress.split(":");
  daemon.child.signal("SIGSTOP");
  for (let index = 0; index < 5; index++) {
    const socket = connect(Number(port), host);
    await once(socket, "connect");
    socket.write(
      `GET /lookup/left-${index} HTTP/1.1\r\nhost: a\r\n` +
        `authorization: Bearer ${VENDOR_TOKEN}\r\n\r\n`,
    );
    await sleep(20);
    socket.destroy();
  }
  await sleep(500);
  daemon.child.signal("SIGCONT");
  const served = await call(daemon.ingress, "/lookup/stayed");
  const executed = (await fleet.executions()).filter(({ path }) =>
    path.includes("left-")
  );
  await fleet.waitForConvergence();
  assert.equal({
    status: served.status,
    left: executed.map(({ path }) => path),
  }, {
    status: 200,
    left: [],
  });
});

test("a stopping daemon interrupts no request and gets no new work", async () => {
  const [leaving, ...others] = fleet.ofService("lookup") as [
    Instance,
    ...Instance[],
  ];
  const id = await fetchMemberId(leaving);
  const sending = sendLookups(others, {
    ratePerSecond: 100,
    durationMs: 3_000,
  });
  await sleep(800);
  const sinceMs = Date.now();
  assert.is(await leaving.daemon.child.stop(), 0);
  const records = await sending;
  assert.equal(checkNoInterruptions(records), []);
  assert.equal(checkResponseBodies(records), []);
  assert.is(calculateServedShare(records), 1);
  await sleep(300);
  const dispatches = others.flatMap(({ daemon }) => daemon.dispatches());
  assert.equal(
    checkNoDispatchesAfterLeaving(dispatches, { id, sinceMs }, LEAVE_GRACE_MS),
    [],
  );
  leaving.daemon.restart();
  await fleet.waitForConvergence();
});

test("a stopping daemon interrupts no call of its own callers", async () => {
  const [{ daemon }] = fleet.ofService("proof") as [Instance];
  const dispatcher = new Agent({ connections: 4 });
  const sending = openLoop(
    { ratePerSecond: 100, durationMs: 3_000 },
    async (number) => {
      const path = `/lookup/${number}`;
      const sentAtMs = Date.now();
      const answer = await call(daemon.ingress, path, { dispatcher });
      return { answer, path, sentAtMs };
    },
  );
  await sleep(700);
  await daemon.child.stop();
  const records = await sending;
  // A refused connection interrupts nothing: no request was sent.
  const sent = records.filter(({ answer }) =>
    !answer.reason.includes("ECONNREFUSED")
  );
  assert.ok(sent.length < records.length, "the daemon stopped meanwhile");
  assert.equal(checkNoInterruptions(sent), []);
  assert.is(calculateServedShare(sent), 1, countUnserved(sent));
  await dispatcher.destroy();
  daemon.restart();
  await fleet.waitForConvergence();
});

// Guards against calls that are reset when a daemon stops because they arrived
// on an open connection while the daemon had no processor time.
test("a daemon that is paused while it stops interrupts no call on an open connection", async () => {
  const [{ daemon }] = fleet.ofService("proof") as [Instance];
  const dispatcher = new Agent({ connections: 1 });
  const opened = await call(daemon.ingress, "/lookup/opens", { dispatcher });
  daemon.child.signal("SIGTERM");
  await sleep(600);
  daemon.child.signal("SIGSTOP");
  const response = call(daemon.ingress, "/lookup/sleep/400", { dispatcher });
  await sleep(700);
  daemon.child.signal("SIGCONT");
  const { status, reason } = await response;
  await daemon.child.waitForExit();
  await dispatcher.destroy();
  daemon.restart();
  await fleet.waitForConvergence();
  assert.equal({ opened: opened.status, status, reason }, {
    opened: 200,
    status: 200,
    reason: "",
  });
});

test("a draining backend server interrupts no request and gets no new work", async () => {
  const [first, second, third] = fleet.ofService("lookup") as [
    Instance,
    Instance,
    Instance,
  ];
  const id = await fetchMemberId(first);
  const sending = sendLookups([second, third], {
    ratePerSecond: 100,
    durationMs: 3_000,
  });
  await sleep(800);
  const sinceMs = Date.now();
  first.backend!.child!.signal("SIGTERM");
  await first.backend!.child!.waitForExit();
  const records = await sending;
  assert.equal(checkNoInterruptions(records), []);
  assert.is(calculateServedShare(records), 1);
  await sleep(300);
  const dispatches = [second, third].flatMap(({ daemon }) =>
    daemon.dispatches()
  );
  assert.equal(
    checkNoDispatchesAfterLeaving(dispatches, { id, sinceMs }, LEAVE_GRACE_MS),
    [],
  );
  first.backend = await startBackendProcess(first.daemon, "lookup", {
    slots: 10,
  });
  await fleet.waitForConvergence();
});

test("idempotent calls succeed although a backend server is killed", async () => {
  const [first, second, third] = fleet.ofService("lookup") as [
    Instance,
    Instance,
    Instance,
  ];
  const sending = sendLookups([second, third], {
    ratePerSecond: 100,
    durationMs: 2_500,
  });
  await sleep(700);
  await first.backend!.close();
  const records = await sending;
  assert.equal(checkResponseBodies(records), []);
  assert.equal(checkNotRun(records, await fleet.executions()), []);
  assert.ok(calculateServedShare(records) >= 0.99, countUnserved(records));
  first.backend = await startBackendProcess(first.daemon, "lookup", {
    slots: 10,
  });
  await fleet.waitForConvergence();
});

test("silent connections are replaced while calls continue", async () => {
  const [first] = fleet.ofService("lookup") as [Instance];
  const proofs = fleet.ofService("proof");
  const sending = sendLookups(proofs, { ratePerSecond: 60, durationMs: 3_000 });
  await sleep(1_000);
  first.daemon.peerProxy.set({ kind: "silence-open" });
  const records = await sending;
  first.daemon.peerProxy.set({ kind: "none" });
  assert.equal(checkResponseBodies(records), []);
  assert.is(calculateServedShare(records), 1);
});

test("idempotent calls succeed although a daemon is paused", async () => {
  const [first] = fleet.ofService("lookup") as [Instance];
  const proofs = fleet.ofService("proof");
  const sending = sendLookups(proofs, { ratePerSecond: 60, durationMs: 4_000 });
  await sleep(1_000);
  first.daemon.child.signal("SIGSTOP");
  await sleep(2_000);
  first.daemon.child.signal("SIGCONT");
  const records = await sending;
  assert.equal(checkResponseBodies(records), []);
  assert.ok(calculateServedShare(records) >= 0.99, countUnserved(records));
  await fleet.waitForConvergence();
});

test("a rolling restart of all daemons interrupts no request", async () => {
  let isOver = false;
  const records: CallRecord[] = [];
  const leaving = new Set<Instance["daemon"]>();
  const sending = (async () => {
    for (let number = 0; !isOver; number++) {
      const up = fleet.instances.filter(({ daemon }) =>
        !daemon.child.hasExited && !leaving.has(daemon)
      );
      const sent = sendLookups([up[number % up.length]!], {
        ratePerSecond: 50,
        durationMs: 100,
      });
      records.push(...await sent);
    }
  })();
  for (const { daemon } of fleet.instances) {
    leaving.add(daemon);
    assert.is(await daemon.child.stop(), 0);
    daemon.restart();
    await fleet.waitForConvergence();
    leaving.delete(daemon);
  }
  isOver = true;
  await sending;
  assert.equal(checkNoInterruptions(records), []);
  assert.equal(checkResponseBodies(records), []);
  assert.is(calculateServedShare(records), 1);
});

test("orders run at most once when a claim holder is paused, store responses are lost and callers repeat them", async () => {
  const records: CallRecord[] = [];
  const keys = Array.from({ length: 60 }, createIdempotencyKey);
  const send = async (key: string, number: number) => {
    const { daemon } = fleet.instances[number % fleet.instances.length]!;
    const sentAtMs = Date.now();
    const answer = await placeOrder(daemon.ingress, key);
    records.push({ answer, path: "/order", sentAtMs, key });
  };
  const sending = openLoop(
    { ratePerSecond: 30, durationMs: 4_000 },
    // Every key is sent twice, through two daemons.
    (number) => send(keys[number % keys.length]!, number * 3),
  );
  await sleep(500);
  fleet.store.faults.lostAnswers = 5;
  await sleep(500);
  const holder = await findClaimHolder();
  holder.daemon.child.signal("SIGSTOP");
  await sleep(2_500);
  holder.daemon.child.signal("SIGCONT");
  await sending;
  await fleet.waitForConvergence();
  const executions = await fleet.executions();
  assert.equal(checkAtMostOnce(executions), []);
  assert.equal(checkNotRun(records, executions), []);
  assert.ok(records.some(({ answer }) => answer.status === 200));
});

async function findClaimHolder(): Promise<Instance> {
  const members = await fetchLiveMembers(fleet.instances[0]!.daemon);
  const holders = new Set(
    members.filter((one) =>
      one.leasedSlots.some((slot) => slot.startsWith("slots/claims/"))
    ).map((one) => one.instance),
  );
  return fleet.instances.find(({ daemon }) =>
    holders.has(daemon.plan.instance)
  )!;
}

/** Sends orders at a fixed rate through some daemons. */
async function sendOrders(
  instances: readonly Instance[],
): Promise<CallRecord[]> {
  return await openLoop(
    { ratePerSecond: 30, durationMs: 3_000 },
    async (number) => {
      const { daemon } = instances[number % instances.length]!;
      const key = createIdempotencyKey();
      const sentAtMs = Date.now();
      const answer = await placeOrder(daemon.ingress, key);
      return { answer, path: "/order", sentAtMs, key };
    },
  );
}

test("orders are served while another domain is cut off from the others and the store", async () => {
  fleet.cutDomain("west");
  fleet.cutFromStore("west");
  // The cut breaks open connections, and their orders may be lost.
  await sleep(3_000);
  const records = await sendOrders(fleet.inDomain("east"));
  fleet.heal();
  assert.is(calculateServedShare(records), 1, countUnserved(records));
  await fleet.waitForConvergence();
  const executions = await fleet.executions();
  assert.equal(checkAtMostOnce(executions), []);
  assert.equal(checkNotRun(records, executions), []);
});

test("domains that reach only the store serve their orders, and a key sent to two of them runs once", async () => {
  fleet.cutDomain("west");
  await sleep(3_000);
  const racingOrders: CallRecord[] = [];
  const race = openLoop({ ratePerSecond: 10, durationMs: 3_000 }, async () => {
    const key = createIdempotencyKey();
    await Promise.all(["east", "west"].map(async (domain) => {
      const { daemon } = fleet.inDomain(domain)[0]!;
      const sentAtMs = Date.now();
      const answer = await placeOrder(daemon.ingress, key);
      racingOrders.push({ answer, path: "/order", sentAtMs, key });
    }));
  });
  const parts = await Promise.all([
    sendOrders(fleet.inDomain("east")),
    sendOrders(fleet.inDomain("west")),
  ]);
  await race;
  fleet.heal();
  await fleet.waitForConvergence();
  for (const records of parts) {
    assert.is(calculateServedShare(records), 1, countUnserved(records));
  }
  const executions = await fleet.executions();
  const all = [...parts.flat(), ...racingOrders];
  assert.equal(checkAtMostOnce(executions), []);
  assert.equal(checkNotRun(all, executions), []);
  const keys = new Set(racingOrders.map(({ key }) => key));
  const served = racingOrders.filter(({ answer }) => answer.status === 200);
  assert.is(new Set(served.map(({ key }) => key)).size, keys.size);
});

test("orders are refused as not run while the store is down, and run after it", async () => {
  await until(async () => {
    const { daemon } = fleet.instances[0]!;
    return (await placeOrder(daemon.ingress, createIdempotencyKey())).status ===
      200;
  }, "orders are served");
  fleet.store.goDown();
  await sleep(1_500);
  const key = createIdempotencyKey();
  const refused = await placeOrder(fleet.instances[0]!.daemon.ingress, key);
  assert.equal(
    { outcome: refused.outcome, reason: refused.reason },
    { outcome: "not-run", reason: "claim-unavailable" },
  );
  fleet.store.comeBack();
  await until(
    async () => {
      const { daemon } = fleet.instances[1]!;
      return (await placeOrder(daemon.ingress, createIdempotencyKey()))
        .status === 200;
    },
    "orders are served again",
    15_000,
  );
  assert.equal(checkAtMostOnce(await fleet.executions()), []);
});

test("a request that crashes backend servers is refused after two crashes", async () => {
  const lookupServers = fleet.ofService("lookup");
  const { daemon } = fleet.ofService("proof")[0]!;
  const otherCalls = sendLookups([fleet.ofService("proof")[1]!], {
    ratePerSecond: 40,
    durationMs: 3_000,
  });
  await sleep(500);
  for (let attempt = 0; attempt < 6; attempt++) {
    await call(daemon.ingress, "/lookup/crash-me");
    await sleep(200);
  }
  const last = await call(daemon.ingress, "/lookup/crash-me");
  assert.equal(
    { outcome: last.outcome, reason: last.reason },
    { outcome: "not-run", reason: "quarantined" },
  );
  const crashed = lookupServers.filter(({ backend }) =>
    backend!.child!.hasExited
  );
  assert.ok(crashed.length <= 2, `${crashed.length} backend servers crashed`);
  const refused = (await otherCalls).filter(({ answer }) =>
    answer.reason === "quarantined"
  );
  assert.is(refused.length, 0, "a harmless request was refused");
  for (const instance of crashed) {
    instance.backend = await startBackendProcess(instance.daemon, "lookup", {
      slots: 10,
    });
  }
  await fleet.waitForConvergence();
});

test("a proof of many megabytes arrives complete while lookups continue", async () => {
  const size = 8 * 1024 * 1024;
  const { daemon } = fleet.ofService("lookup")[0]!;
  const [proof, records] = await Promise.all([
    call(daemon.ingress, "/proof/echo", {
      method: "POST",
      body: "p".repeat(size),
    }),
    sendLookups(fleet.instances, { ratePerSecond: 40, durationMs: 1_000 }),
  ]);
  assert.is(proof.status, 200, proof.reason);
  assert.is(proof.body.length, size);
  assert.is(calculateServedShare(records), 1);
});

test.run();
