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
const LEAVE_MS = 3_000;

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

// Guards against failures that only follow from another test's: the daemon
// that it had stopped was missing, and the fleet was waited for in vain.
test.before.each(async () => {
  await fleet.recover();
});

/** Sends lookups at a fixed rate through some daemons. */
async function lookups(
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

async function memberId(instance: Instance): Promise<string> {
  const page = await instance.daemon.fetchPage<{ self: string }>("/members");
  return page.self;
}

function servedShare(records: readonly CallRecord[]): number {
  const served = records.filter(({ answer }) => answer.status === 200);
  return served.length / records.length;
}

/** Counts the answers that are not the backend server's, by reason. */
function unserved(records: readonly CallRecord[]): string {
  const counts: Record<string, number> = {};
  for (const { answer } of records) {
    if (answer.status === 200) continue;
    const reason = `${answer.status} ${answer.outcome} ${answer.reason}`;
    counts[reason] = (counts[reason] ?? 0) + 1;
  }
  return JSON.stringify(counts);
}

// Guards against attempts for callers that closed their connections while the
// daemon that took their requests had no processor time.
test("a daemon that was held up makes no attempt for callers that left", async () => {
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
  const kept = await call(daemon.ingress, "/lookup/stayed");
  const left = (await fleet.executions()).filter(({ path }) =>
    path.includes("left-")
  );
  await fleet.waitForConvergence();
  assert.equal({ status: kept.status, left: left.map(({ path }) => path) }, {
    status: 200,
    left: [],
  });
});

test("a daemon that stops cuts no request, and gets no new work", async () => {
  const [leaving, ...others] = fleet.ofService("lookup") as [
    Instance,
    ...Instance[],
  ];
  const id = await memberId(leaving);
  const working = lookups(others, { ratePerSecond: 100, durationMs: 3_000 });
  await sleep(800);
  const sinceMs = Date.now();
  assert.is(await leaving.daemon.child.stop(), 0);
  const records = await working;
  assert.equal(checkNoInterruptions(records), []);
  assert.equal(checkResponseBodies(records), []);
  assert.is(servedShare(records), 1);
  await sleep(300);
  const dispatches = others.flatMap(({ daemon }) => daemon.dispatches());
  assert.equal(
    checkNoDispatchesAfterLeaving(dispatches, { id, sinceMs }, LEAVE_MS),
    [],
  );
  leaving.daemon.restart();
  await fleet.waitForConvergence();
});

test("a daemon that stops cuts no call of its own callers", async () => {
  const [{ daemon }] = fleet.ofService("proof") as [Instance];
  const dispatcher = new Agent({ connections: 4 });
  const working = openLoop(
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
  const records = await working;
  // A refused connection is no cut: nothing was sent.
  const sent = records.filter(({ answer }) =>
    !answer.reason.includes("ECONNREFUSED")
  );
  assert.ok(sent.length < records.length, "the daemon stopped meanwhile");
  assert.equal(checkNoInterruptions(sent), []);
  assert.is(servedShare(sent), 1, unserved(sent));
  await dispatcher.destroy();
  daemon.restart();
  await fleet.waitForConvergence();
});

// Guards against calls of callers that were reset as a daemon stopped: they
// came on an open connection while the daemon had no processor time.
test("a daemon that is held up while it stops cuts no call on an open connection", async () => {
  const [{ daemon }] = fleet.ofService("proof") as [Instance];
  const dispatcher = new Agent({ connections: 1 });
  const opened = await call(daemon.ingress, "/lookup/opens", { dispatcher });
  daemon.child.signal("SIGTERM");
  await sleep(600);
  daemon.child.signal("SIGSTOP");
  const answer = call(daemon.ingress, "/lookup/sleep/400", { dispatcher });
  await sleep(700);
  daemon.child.signal("SIGCONT");
  const { status, reason } = await answer;
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

test("a backend server that drains cuts no request, and gets no new work", async () => {
  const [first, second, third] = fleet.ofService("lookup") as [
    Instance,
    Instance,
    Instance,
  ];
  const id = await memberId(first);
  const working = lookups([second, third], {
    ratePerSecond: 100,
    durationMs: 3_000,
  });
  await sleep(800);
  const sinceMs = Date.now();
  first.backend!.child!.signal("SIGTERM");
  await first.backend!.child!.waitForExit();
  const records = await working;
  assert.equal(checkNoInterruptions(records), []);
  assert.is(servedShare(records), 1);
  await sleep(300);
  const dispatches = [second, third].flatMap(({ daemon }) =>
    daemon.dispatches()
  );
  assert.equal(
    checkNoDispatchesAfterLeaving(dispatches, { id, sinceMs }, LEAVE_MS),
    [],
  );
  first.backend = await startBackendProcess(first.daemon, "lookup", {
    slots: 10,
  });
  await fleet.waitForConvergence();
});

test("a backend server that is killed costs idempotent calls nothing", async () => {
  const [first, second, third] = fleet.ofService("lookup") as [
    Instance,
    Instance,
    Instance,
  ];
  const working = lookups([second, third], {
    ratePerSecond: 100,
    durationMs: 2_500,
  });
  await sleep(700);
  await first.backend!.close();
  const records = await working;
  assert.equal(checkResponseBodies(records), []);
  assert.equal(checkNotRun(records, await fleet.executions()), []);
  assert.ok(servedShare(records) >= 0.99, unserved(records));
  first.backend = await startBackendProcess(first.daemon, "lookup", {
    slots: 10,
  });
  await fleet.waitForConvergence();
});

test("connections that go silent are replaced while work goes on", async () => {
  const [first] = fleet.ofService("lookup") as [Instance];
  const proofs = fleet.ofService("proof");
  const working = lookups(proofs, { ratePerSecond: 60, durationMs: 3_000 });
  await sleep(1_000);
  first.daemon.peerProxy.set({ kind: "silence-open" });
  const records = await working;
  first.daemon.peerProxy.set({ kind: "none" });
  assert.equal(checkResponseBodies(records), []);
  assert.is(servedShare(records), 1);
});

test("a daemon that stands still costs idempotent calls nothing", async () => {
  const [first] = fleet.ofService("lookup") as [Instance];
  const proofs = fleet.ofService("proof");
  const working = lookups(proofs, { ratePerSecond: 60, durationMs: 4_000 });
  await sleep(1_000);
  first.daemon.child.signal("SIGSTOP");
  await sleep(2_000);
  first.daemon.child.signal("SIGCONT");
  const records = await working;
  assert.equal(checkResponseBodies(records), []);
  assert.ok(servedShare(records) >= 0.99, unserved(records));
  await fleet.waitForConvergence();
});

test("a rolling replacement of all daemons cuts no request", async () => {
  let isOver = false;
  const records: CallRecord[] = [];
  const leaving = new Set<Instance["daemon"]>();
  const working = (async () => {
    for (let number = 0; !isOver; number++) {
      const up = fleet.instances.filter(({ daemon }) =>
        !daemon.child.hasExited && !leaving.has(daemon)
      );
      const sent = lookups([up[number % up.length]!], {
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
  await working;
  assert.equal(checkNoInterruptions(records), []);
  assert.equal(checkResponseBodies(records), []);
  assert.is(servedShare(records), 1);
});

test("orders run at most once when holders die, answers are lost and callers resend", async () => {
  const records: CallRecord[] = [];
  const keys = Array.from({ length: 60 }, createIdempotencyKey);
  const send = async (key: string, number: number) => {
    const { daemon } = fleet.instances[number % fleet.instances.length]!;
    const sentAtMs = Date.now();
    const answer = await placeOrder(daemon.ingress, key);
    records.push({ answer, path: "/order", sentAtMs, key });
  };
  const working = openLoop(
    { ratePerSecond: 30, durationMs: 4_000 },
    // Every key is sent twice, by way of two daemons, at nearly one time.
    (number) => send(keys[number % keys.length]!, number * 3),
  );
  await sleep(500);
  fleet.store.faults.lostAnswers = 5;
  await sleep(500);
  const holder = await claimHolder();
  holder.daemon.child.signal("SIGSTOP");
  await sleep(2_500);
  holder.daemon.child.signal("SIGCONT");
  await working;
  await fleet.waitForConvergence();
  const executions = await fleet.executions();
  assert.equal(checkAtMostOnce(executions), []);
  assert.equal(checkNotRun(records, executions), []);
  assert.ok(records.some(({ answer }) => answer.status === 200));
});

async function claimHolder(): Promise<Instance> {
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

/** Instances of a domain that an order can enter by. */
async function ordersWithin(
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

test("orders go on while a domain is cut off from the others and the store", async () => {
  fleet.cutDomain("west");
  fleet.cutFromStore("west");
  // Connections that were open break with the cut; their orders may be lost.
  await sleep(3_000);
  const records = await ordersWithin(fleet.inDomain("east"));
  fleet.heal();
  assert.is(servedShare(records), 1, unserved(records));
  await fleet.waitForConvergence();
  const executions = await fleet.executions();
  assert.equal(checkAtMostOnce(executions), []);
  assert.equal(checkNotRun(records, executions), []);
});

test("domains that reach only the store serve their orders, and race on a key without doubling it", async () => {
  fleet.cutDomain("west");
  await sleep(3_000);
  const raced: CallRecord[] = [];
  const race = openLoop({ ratePerSecond: 10, durationMs: 3_000 }, async () => {
    const key = createIdempotencyKey();
    await Promise.all(["east", "west"].map(async (domain) => {
      const { daemon } = fleet.inDomain(domain)[0]!;
      const sentAtMs = Date.now();
      const answer = await placeOrder(daemon.ingress, key);
      raced.push({ answer, path: "/order", sentAtMs, key });
    }));
  });
  const parts = await Promise.all([
    ordersWithin(fleet.inDomain("east")),
    ordersWithin(fleet.inDomain("west")),
  ]);
  await race;
  fleet.heal();
  await fleet.waitForConvergence();
  for (const records of parts) {
    assert.is(servedShare(records), 1, unserved(records));
  }
  const executions = await fleet.executions();
  const all = [...parts.flat(), ...raced];
  assert.equal(checkAtMostOnce(executions), []);
  assert.equal(checkNotRun(all, executions), []);
  const keys = new Set(raced.map(({ key }) => key));
  const served = raced.filter(({ answer }) => answer.status === 200);
  assert.is(new Set(served.map(({ key }) => key)).size, keys.size);
});

test("orders are refused as not run while the store is down, and run after it", async () => {
  await until(async () => {
    const { daemon } = fleet.instances[0]!;
    return (await placeOrder(daemon.ingress, createIdempotencyKey())).status ===
      200;
  }, "orders are taken");
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
    "orders are taken again",
    15_000,
  );
  assert.equal(checkAtMostOnce(await fleet.executions()), []);
});

test("a request that crashes backend servers is refused after two crashes", async () => {
  const lookupServers = fleet.ofService("lookup");
  const { daemon } = fleet.ofService("proof")[0]!;
  const innocent = lookups([fleet.ofService("proof")[1]!], {
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
  const refused = (await innocent).filter(({ answer }) =>
    answer.reason === "quarantined"
  );
  assert.is(refused.length, 0, "an innocent request was refused");
  for (const instance of crashed) {
    instance.backend = await startBackendProcess(instance.daemon, "lookup", {
      slots: 10,
    });
  }
  await fleet.waitForConvergence();
});

test("a proof of many megabytes arrives whole while lookups go on", async () => {
  const size = 8 * 1024 * 1024;
  const { daemon } = fleet.ofService("lookup")[0]!;
  const [proof, records] = await Promise.all([
    call(daemon.ingress, "/proof/echo", {
      method: "POST",
      body: "p".repeat(size),
    }),
    lookups(fleet.instances, { ratePerSecond: 40, durationMs: 1_000 }),
  ]);
  assert.is(proof.status, 200, proof.reason);
  assert.is(proof.body.length, size);
  assert.is(servedShare(records), 1);
});

test.run();
