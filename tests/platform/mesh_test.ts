import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { BackendFault } from "../../platform/fakes/backend.ts";
import { StoreFault } from "../../platform/fakes/kv_server.ts";
import {
  CONFIG_KEY,
  FakeMesh,
  sampleConfig,
  sampleRoute,
} from "../../platform/fakes/mesh.ts";
import { RequestKind } from "../../src/protocol/mesh.ts";
import {
  formatCall,
  HEADER_CALL,
  STATUS_PATH,
} from "../../src/protocol/peer_call.ts";
import { until } from "../../testkit/until.ts";

/** Head of an order of 9 bytes, as another daemon sends it. */
function orderHead(id: string, remainingMs: number): string {
  const description = formatCall({
    id,
    route: "orders",
    kind: RequestKind.AtMostOnce,
    priority: 0,
    callerService: "stock",
    service: "stock",
    backendId: "i-0",
    remainingMs,
    objectiveInMs: remainingMs / 2,
    configVersion: 1,
  });
  return `POST /orders/1 HTTP/1.1\r\nhost: shop.example\r\n` +
    `x-attempt-id: ${id}\r\n${HEADER_CALL}: ${description}\r\n` +
    `content-length: 9\r\n\r\n`;
}

/** Runs a test on a mesh of its own. */
function meshTest(
  name: string,
  size: number,
  run: (mesh: FakeMesh) => Promise<void>,
): void {
  test(name, async () => {
    const mesh = await FakeMesh.start(size);
    try {
      await run(mesh);
    } finally {
      await mesh.stop();
    }
  });
}

const runsOf = (mesh: FakeMesh) =>
  mesh.instances.map(({ backend }) => backend.runs.length);
const totalRuns = (mesh: FakeMesh) =>
  runsOf(mesh).reduce((sum, runs) => sum + runs, 0);

meshTest("a request reaches a backend server unchanged", 2, async (mesh) => {
  const reply = await mesh.call(0, {
    path: "/orders/7?size=2",
    method: "POST",
    body: "two pallets",
    id: "r1",
    headers: { "x-caller-service": "forged", "x-expect-instance": "i-9" },
  });
  const runs = mesh.instances.flatMap(({ backend }) => backend.runs);
  assert.equal({
    status: reply.status,
    stamp: reply.headers["x-response-stamp"],
    runs: runs.map(({ id, path, caller, body }) => ({
      id,
      path,
      caller,
      body,
    })),
    isTimely: runs[0]!.remainingMs > 0 && runs[0]!.remainingMs <= 1_500,
  }, {
    status: 200,
    stamp: "stamp-r1",
    runs: [{
      id: "r1",
      path: "/orders/7?size=2",
      caller: "stock",
      body: "two pallets",
    }],
    isTimely: true,
  });
});

meshTest(
  "an acknowledged drain binds at once, for all daemons",
  2,
  async (mesh) => {
    await mesh.announce(0, "draining");
    const before = runsOf(mesh)[0];
    const replies = await Promise.all(
      Array.from(
        { length: 20 },
        (_, index) => mesh.call(index % 2, { path: "/stock/1" }),
      ),
    );
    assert.equal({
      statuses: [...new Set(replies.map(({ status }) => status))],
      reached: runsOf(mesh)[0]! - before!,
    }, { statuses: [200], reached: 0 });
  },
);

meshTest("a drain binds although the store is down", 2, async (mesh) => {
  mesh.store.fault = StoreFault.Busy;
  const { status } = await mesh.announce(0, "draining");
  const reply = await mesh.call(1, { path: "/stock/1" });
  assert.equal({ status, reply: reply.status, reached: runsOf(mesh)[0] }, {
    status: 200,
    reply: 200,
    reached: 0,
  });
});

meshTest(
  "a rejected order goes to another backend server once",
  2,
  async (mesh) => {
    mesh.instances[0]!.backend.fault = BackendFault.Shed;
    const replies = await Promise.all(
      Array.from(
        { length: 6 },
        () => mesh.call(0, { path: "/orders/1", method: "POST", body: "x" }),
      ),
    );
    assert.equal({
      statuses: [...new Set(replies.map(({ status }) => status))],
      runs: runsOf(mesh),
    }, { statuses: [200], runs: [0, 6] });
  },
);

meshTest("an order whose answer is lost never runs again", 2, async (mesh) => {
  for (const { backend } of mesh.instances) backend.fault = BackendFault.Reset;
  const reply = await mesh.call(0, {
    path: "/orders/1",
    method: "POST",
    body: "x",
  });
  assert.equal({ status: reply.status, runs: totalRuns(mesh) }, {
    status: 502,
    runs: 1,
  });
});

meshTest("a lookup whose answer is lost runs elsewhere", 2, async (mesh) => {
  mesh.instances[0]!.backend.fault = BackendFault.Reset;
  const replies = await Promise.all(
    Array.from({ length: 4 }, () => mesh.call(0, { path: "/stock/1" })),
  );
  assert.equal(replies.map(({ status }) => status), [200, 200, 200, 200]);
});

meshTest("an answer cut short is not passed on as whole", 1, async (mesh) => {
  mesh.instances[0]!.backend.fault = BackendFault.CutUnframed;
  const reply = await mesh.call(0, { path: "/stock/1" });
  assert.equal({ status: reply.status, body: reply.body }, {
    status: 502,
    body: "",
  });
});

meshTest("an answer to another request is not passed on", 1, async (mesh) => {
  mesh.instances[0]!.backend.fault = BackendFault.WrongId;
  const reply = await mesh.call(0, { path: "/stock/1" });
  assert.is(reply.status, 502);
});

// Guards against bytes that are no answer and have no end: they must neither
// fill the daemon's memory nor hold the request to its deadline.
for (
  const fault of [
    BackendFault.EndlessHead,
    BackendFault.EndlessInterim,
    BackendFault.EndlessBody,
    BackendFault.EndlessExtension,
    BackendFault.EndlessOther,
  ]
) {
  meshTest(`an answer without end is given up: ${fault}`, 1, async (mesh) => {
    const { backend } = mesh.instances[0]!;
    backend.fault = fault;
    const reply = await mesh.call(0, {
      path: "/orders/1",
      method: "POST",
      body: "x",
    });
    await until(
      () => backend.openEndlessAnswers === 0,
      "the connection is closed",
    );
    backend.fault = BackendFault.None;
    const next = await mesh.call(0, { path: "/stock/1" });
    assert.equal({
      status: reply.status,
      isBounded: backend.endlessBytes < 32 * 1024 * 1024,
      next: next.status,
    }, { status: 502, isBounded: true, next: 200 });
  });
}

meshTest("a request ends at its timeout and is cancelled", 1, async (mesh) => {
  const { backend } = mesh.instances[0]!;
  backend.fault = BackendFault.Silent;
  const startedAtMs = performance.now();
  const reply = await mesh.call(0, {
    path: "/stock/1",
    id: "slow",
    timeoutMs: 300,
  });
  const tookMs = performance.now() - startedAtMs;
  await until(() => backend.cancelled.length > 0, "the request is cancelled");
  assert.equal({
    status: reply.status,
    isOnTime: tookMs >= 290,
    cancelled: backend.cancelled,
  }, { status: 504, isOnTime: true, cancelled: ["slow"] });
});

meshTest(
  "a new version is in force without a watch that hears",
  2,
  async (mesh) => {
    mesh.store.put(
      CONFIG_KEY,
      JSON.stringify(sampleConfig(5, [sampleRoute("added")])),
    );
    mesh.store.compact();
    await until(
      async () => (await mesh.call(0, { path: "/added/1" })).status === 200,
      "the added route is served",
    );
    const after = await mesh.call(0, { path: "/none/1" });
    assert.is(after.status, 404);
  },
);

meshTest("an older version never replaces a newer one", 1, async (mesh) => {
  mesh.store.put(CONFIG_KEY, JSON.stringify(sampleConfig(9)));
  mesh.store.put(
    CONFIG_KEY,
    JSON.stringify({
      ...sampleConfig(3),
      Listeners: [],
    }),
  );
  await sleep(800);
  const reply = await mesh.call(0, { path: "/stock/1" });
  assert.is(reply.status, 200);
});

meshTest("a version that cannot be read harms nothing", 1, async (mesh) => {
  mesh.store.put(CONFIG_KEY, "{");
  mesh.store.put("sesamepond/backends/other", "[1]");
  await sleep(800);
  const reply = await mesh.call(0, { path: "/stock/1" });
  assert.is(reply.status, 200);
});

meshTest("records that lapsed are back soon after", 2, async (mesh) => {
  mesh.store.expireLeases();
  const reply = await mesh.call(1, { path: "/stock/1" });
  await until(
    () =>
      [0, 1].every((index) =>
        mesh.store.get(`sesamepond/backends/instance-${index}`) !== undefined
      ),
    "both records are back",
    2_000,
  );
  assert.is(reply.status, 200);
});

meshTest(
  "requests are served on while the store is silent",
  2,
  async (mesh) => {
    mesh.store.fault = StoreFault.Silent;
    await sleep(500);
    const replies = await Promise.all(
      Array.from(
        { length: 10 },
        (_, index) => mesh.call(index % 2, { path: "/stock/1" }),
      ),
    );
    assert.ok(replies.every(({ status }) => status === 200));
  },
);

meshTest(
  "a restarted daemon serves before it hears an announcement",
  1,
  async (mesh) => {
    await mesh.restart(0);
    await until(
      async () => (await mesh.call(0, { path: "/stock/1" })).status === 200,
      "the backend server is used again",
      2_000,
    );
  },
);

meshTest(
  "a drain that was not recorded binds a restarted daemon",
  1,
  async (mesh) => {
    const { backend } = mesh.instances[0]!;
    mesh.store.fault = StoreFault.Busy;
    await mesh.announce(0, "draining");
    backend.isDraining = true;
    mesh.instances[0]!.sidecar.kill();
    mesh.store.fault = StoreFault.None;
    await mesh.restart(0);
    await mesh.waitUntilReady();
    await sleep(300);
    const reply = await mesh.call(0, { path: "/stock/1" });
    assert.equal({ status: reply.status, runs: backend.runs.length }, {
      status: 503,
      runs: 0,
    });
  },
);

meshTest("a recorded drain binds a restarted daemon", 1, async (mesh) => {
  const { backend } = mesh.instances[0]!;
  await mesh.announce(0, "draining");
  await until(
    () =>
      mesh.store.get("sesamepond/backends/instance-0")!.includes("draining"),
    "the drain is recorded",
  );
  await mesh.restart(0);
  await sleep(300);
  await mesh.announce(0, "ready", { Sequence: 1 });
  const reply = await mesh.call(0, { path: "/stock/1" });
  assert.equal({ status: reply.status, runs: backend.runs.length }, {
    status: 503,
    runs: 0,
  });
});

meshTest(
  "a request whose body is on its way counts as arrived",
  1,
  async (mesh) => {
    const { peerAddress } = mesh.instances[0]!.settings;
    const [host, port] = peerAddress.split(":");
    const socket = connect(Number(port), host);
    socket.write(orderHead("slow", 1_000) + "half");
    await sleep(100);
    const answers = await Promise.all(
      ["slow", "other"].map((id) =>
        fetch(`http://${peerAddress}${STATUS_PATH}${id}`).then((r) => r.text())
      ),
    );
    socket.destroy();
    assert.equal(answers, ["open", "unknown"]);
  },
);

// Guards against work for callers that left while the body was on its way.
meshTest(
  "a request whose body came after its deadline is not run",
  1,
  async (mesh) => {
    const [host, port] = mesh.instances[0]!.settings.peerAddress.split(":");
    const socket = connect(Number(port), host);
    socket.write(orderHead("slow", 300) + "half");
    await sleep(600);
    socket.write("-late");
    const answer = await new Promise((resolve) =>
      socket.once("data", (chunk) => resolve(String(chunk).slice(9, 12)))
    );
    socket.destroy();
    assert.equal({ answer, runs: runsOf(mesh) }, { answer: "503", runs: [0] });
  },
);

meshTest("a stopping daemon answers what it took", 2, async (mesh) => {
  for (const { backend } of mesh.instances) backend.workMs = 300;
  const taken = mesh.call(0, { path: "/stock/1" });
  await sleep(50);
  const stopped = mesh.instances[0]!.sidecar.stop();
  const during = await mesh.call(0, { path: "/stock/2", timeoutMs: 1_000 });
  const first = await taken;
  await stopped;
  assert.equal({
    first: first.status,
    during: during.status,
    connection: during.headers.connection,
  }, { first: 200, during: 200, connection: "close" });
});

meshTest(
  "a daemon vouches for nothing from before its start",
  1,
  async (mesh) => {
    const [host, port] = mesh.instances[0]!.settings.peerAddress.split(":");
    const ask = async (id: string, ageMs: number) => {
      const url = `http://${host}:${port}${STATUS_PATH}${id}?ageMs=${ageMs}`;
      return await (await fetch(url)).text();
    };
    assert.equal([await ask("new", 1), await ask("old", 86_400_000)], [
      "unknown",
      "ended",
    ]);
  },
);

test.run();
