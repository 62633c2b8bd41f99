import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { BackendFault } from "../../platform/fakes/backend.ts";
import { FakeMesh } from "../../platform/fakes/mesh.ts";
import { EXEMPTION_PREFIX } from "../../src/protocol/end_evidence.ts";
import { fingerprintOf } from "../../src/protocol/fingerprint.ts";
import { until } from "../../testkit/until.ts";
import { type FatalLoadResult, runFatalLoad } from "./fatal_load.ts";

/** Most arrivals later than 3 s after the third end. */
const MAX_LATE_ARRIVALS = 3;
const FOR_MS = 9_000;
/** Retry-After value above which a refusal is a verdict, in s. */
const MIN_VERDICT_WAIT_S = 60;

function assertBounded(result: FatalLoadResult): void {
  const { ends, lateArrivals, unserved, bystanderStatuses } = result;
  assert.ok(
    lateArrivals.every((count) => count <= MAX_LATE_ARRIVALS),
    `${lateArrivals} late arrivals, ${ends} ends`,
  );
  assert.equal({ unserved, bystanderStatuses }, {
    unserved: 0,
    bystanderStatuses: [],
  });
}

// Guards against sending a request on under which three backend servers have
// ended: each one that came back ended at once, and nearly all others failed.
test("a request under which three backend servers ended is refused, and others are served", async () => {
  const result = await runFatalLoad({ size: 4, forMs: FOR_MS });
  assertBounded(result);
  assert.equal(result.fatalStatuses, [503, 503, 503]);
  assert.ok(result.bystanders > 0, "requests ran beside it");
});

// Guards against a verdict that is lost with the processes that reached it.
test("the refusal outlives a restart of half of the daemons at once", async () => {
  const result = await runFatalLoad({
    size: 4,
    forMs: FOR_MS,
    disturb: async (mesh) => {
      await sleep(FOR_MS / 2);
      await Promise.all([mesh.restart(0), mesh.restart(1)]);
    },
  });
  assertBounded(result);
});

// Guards against a verdict that only the daemons keep, and not the store.
test("the refusal outlives a restart of all daemons at once", async () => {
  const result = await runFatalLoad({
    size: 4,
    forMs: FOR_MS,
    disturb: async (mesh) => {
      await sleep(FOR_MS / 2);
      await Promise.all(mesh.instances.map((_, index) => mesh.restart(index)));
    },
  });
  assertBounded(result);
});

// Guards against evidence that travels by the store alone.
test("daemons without the store reach the verdict by the calls between them", async () => {
  const result = await runFatalLoad({
    size: 4,
    forMs: FOR_MS,
    hasStoreProxies: true,
    disturb: (mesh) => {
      for (const { storeProxy } of mesh.instances) {
        storeProxy!.set({ kind: "cut" });
      }
      return Promise.resolve();
    },
  });
  assertBounded(result);
});

// Guards against a count that mixes two requests which are both fatal.
test("two fatal requests at a time are both refused", async () => {
  const result = await runFatalLoad({ size: 6, forMs: FOR_MS, fatalCount: 2 });
  assertBounded(result);
});

// Guards against a verdict that costs each daemon calls to the store, or comes
// late to those that only follow its readers.
test("a verdict reaches ten daemons behind two readers for one write for each end", async () => {
  const mesh = await FakeMesh.start(10, { domains: 1 });
  const path = "/stock/fatal-at-one-daemon";
  const isVerdict = async (index: number) => {
    const { status, headers } = await mesh.call(index, { path });
    return status === 503 &&
      Number(headers["retry-after"]) > MIN_VERDICT_WAIT_S;
  };
  const countCalls = () =>
    [...mesh.store.calls].filter(([call]) =>
      call !== "/api/kv-watch" && !call.startsWith("/api/kv-keep")
    ).reduce((sum, [, count]) => sum + count, 0);
  let ends = 0;
  try {
    for (const { backend } of mesh.instances) {
      backend.isFatal = (requested) => requested === path;
      backend.onEnd = () => ends++;
    }
    await sleep(1_000);
    const callsBefore = countCalls();
    await until(() => isVerdict(0), "the daemon refuses the request");
    const indexes = [...mesh.instances.keys()];
    await until(
      async () => (await Promise.all(indexes.map(isVerdict))).every(Boolean),
      "all daemons refuse the request",
      3_000,
    );
    const calls = countCalls() - callsBefore;
    assert.ok(ends >= 3 && calls <= ends, `${calls} calls, ${ends} ends`);
  } finally {
    await mesh.stop();
  }
});

// Guards against a verdict that nobody can lift before it expires.
test("an operator's exemption has a request served again at all daemons", async () => {
  const mesh = await FakeMesh.start(4);
  const path = "/stock/fatal-once";
  const callAll = async () => {
    const results: string[] = [];
    for (const index of mesh.instances.keys()) {
      const { status, headers } = await mesh.call(index, { path });
      const isVerdict = Number(headers["retry-after"]) > MIN_VERDICT_WAIT_S;
      results.push(isVerdict ? `${status} for long` : String(status));
    }
    return results;
  };
  try {
    for (const [index, { backend }] of mesh.instances.entries()) {
      backend.isFatal = (requested) => requested === path;
      backend.onEnd = () => {
        setTimeout(() => void mesh.startBackendAgain(index), 300);
      };
    }
    await until(async () => {
      await sleep(300);
      return (await callAll()).every((result) => result === "503 for long");
    }, "all daemons refuse the request");
    for (const { backend } of mesh.instances) backend.isFatal = () => false;
    const refused = await callAll();
    const headers = ["host", "shop.example"];
    const request = { method: "GET", path, headers, body: undefined };
    mesh.store.put(EXEMPTION_PREFIX + fingerprintOf(request), "");
    await sleep(500);
    await mesh.restart(0);
    await mesh.announce(0, "ready");
    await mesh.waitUntilReady();
    assert.equal({ refused, exempt: await callAll() }, {
      refused: Array(4).fill("503 for long"),
      exempt: Array(4).fill("200"),
    });
  } finally {
    await mesh.stop();
  }
});

// Guards against taking a reset connection for the end of a backend server.
test("a request whose connections are reset is never refused as fatal", async () => {
  const mesh = await FakeMesh.start(3, { domains: 1 });
  try {
    const statuses: number[] = [];
    for (const { backend } of mesh.instances) {
      backend.fault = BackendFault.Reset;
    }
    for (let index = 0; index < 12; index++) {
      const reply = await mesh.call(index % 3, { path: "/stock/reset" });
      statuses.push(reply.status);
    }
    for (const { backend } of mesh.instances) backend.fault = BackendFault.None;
    const reply = await mesh.call(0, { path: "/stock/reset" });
    assert.equal(new Set(statuses), new Set([502]));
    assert.is(reply.status, 200);
  } finally {
    await mesh.stop();
  }
});

test.run();
