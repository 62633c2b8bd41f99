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

/** Formats the head of a peer daemon's order with a 9-byte body. */
function formatOrderHead(id: string, remainingMs: number): string {
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

/** Defines a test that runs on a new mesh. */
function testMesh(
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

const countRuns = (mesh: FakeMesh) =>
  mesh.instances.map(({ backend }) => backend.runs.length);
const countTotalRuns = (mesh: FakeMesh) =>
  countRuns(mesh).reduce((sum, runs) => sum + runs, 0);

testMesh("a request reaches a backend server unchanged", 2, async (mesh) => {
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

testMesh(
  "an acknowledged drain applies at once, at all daemons",
  2,
  async (mesh) => {
    await mesh.announce(0, "draining");
    const before = countRuns(mesh)[0];
    const replies = await Promise.all(
      Array.from(
        { length: 20 },
        (_, index) => mesh.call(index % 2, { path: "/stock/1" }),
      ),
    );
    assert.equal({
      statuses: [...new Set(replies.map(({ status }) => status))],
      reached: countRuns(mesh)[0]! - before!,
    }, { statuses: [200], reached: 0 });
  },
);

testMesh("a drain applies although the store is down", 2, async (mesh) => {
  mesh.store.fault = StoreFault.Busy;
  const { status } = await mesh.announce(0, "draining");
  const reply = await mesh.call(1, { path: "/stock/1" });
  assert.equal({ status, reply: reply.status, reached: countRuns(mesh)[0] }, {
    status: 200,
    reply: 200,
    reached: 0,
  });
});

testMesh(
  "a rejected order is retried at another backend server and runs once",
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
      runs: countRuns(mesh),
    }, { statuses: [200], runs: [0, 6] });
  },
);

testMesh("an order whose response is lost never reruns", 2, async (mesh) => {
  for (const { backend } of mesh.instances) backend.fault = BackendFault.Reset;
  const reply = await mesh.call(0, {
    path: "/orders/1",
    method: "POST",
    body: "x",
  });
  assert.equal({ status: reply.status, runs: countTotalRuns(mesh) }, {
    status: 502,
    runs: 1,
  });
});

testMesh(
  "a lookup whose response is lost is retried elsewhere",
  2,
  async (mesh) => {
    mesh.instances[0]!.backend.fault = BackendFault.Reset;
    const replies = await Promise.all(
      Array.from({ length: 4 }, () => mesh.call(0, { path: "/stock/1" })),
    );
    assert.equal(replies.map(({ status }) => status), [200, 200, 200, 200]);
  },
);

testMesh(
  "a truncated response is not forwarded as complete",
  1,
  async (mesh) => {
    mesh.instances[0]!.backend.fault = BackendFault.CutUnframed;
    const reply = await mesh.call(0, { path: "/stock/1" });
    assert.equal({ status: reply.status, body: reply.body }, {
      status: 502,
      body: "",
    });
  },
);

testMesh("a response to another request is not forwarded", 1, async (mesh) => {
  mesh.instances[0]!.backend.fault = BackendFault.WrongId;
  const reply = await mesh.call(0, { path: "/stock/1" });
  assert.is(reply.status, 502);
});

// Guards against endless bytes in place of a response: they must neither fill
// the daemon's memory nor hold the request until its deadline.
for (
  const fault of [
    BackendFault.EndlessHead,
    BackendFault.EndlessInterim,
    BackendFault.EndlessBody,
    BackendFault.EndlessExtension,
    BackendFault.EndlessOther,
  ]
) {
  testMesh(`an endless response is abandoned: ${fault}`, 1, async (mesh) => {
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

testMesh("a request ends at its timeout and is cancelled", 1, async (mesh) => {
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

testMesh(
  "a new version is applied although the watch misses the change",
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

testMesh("an older version never replaces a newer one", 1, async (mesh) => {
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

testMesh("an invalid version is ignored", 1, async (mesh) => {
  mesh.store.put(CONFIG_KEY, "{");
  mesh.store.put("sesamepond/backends/other", "[1]");
  await sleep(800);
  const reply = await mesh.call(0, { path: "/stock/1" });
  assert.is(reply.status, 200);
});

testMesh("records whose leases expired are written again", 2, async (mesh) => {
  mesh.store.expireLeases();
  const reply = await mesh.call(1, { path: "/stock/1" });
  await until(
    () =>
      [0, 1].every((index) =>
        mesh.store.get(`sesamepond/backends/instance-${index}`) !== undefined
      ),
    "both records are written again",
    2_000,
  );
  assert.is(reply.status, 200);
});

testMesh(
  "requests are still served while the store does not respond",
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

testMesh(
  "a restarted daemon serves before it receives an announcement",
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

testMesh(
  "a restarted daemon observes a drain that was not recorded",
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

testMesh("a restarted daemon observes a recorded drain", 1, async (mesh) => {
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

testMesh(
  "a request whose body is still being received counts as open",
  1,
  async (mesh) => {
    const { peerAddress } = mesh.instances[0]!.settings;
    const [host, port] = peerAddress.split(":");
    const socket = connect(Number(port), host);
    socket.write(formatOrderHead("slow", 1_000) + "half");
    await sleep(100);
    const states = await Promise.all(
      ["slow", "other"].map((id) =>
        fetch(`http://${peerAddress}${STATUS_PATH}${id}`).then((r) => r.text())
      ),
    );
    socket.destroy();
    assert.equal(states, ["open", "unknown"]);
  },
);

// Guards against work for callers that disconnected while the daemon was
// receiving the body.
testMesh(
  "a request whose body is received after its deadline is not run",
  1,
  async (mesh) => {
    const [host, port] = mesh.instances[0]!.settings.peerAddress.split(":");
    const socket = connect(Number(port), host);
    socket.write(formatOrderHead("slow", 300) + "half");
    await sleep(600);
    socket.write("-late");
    const answer = await new Promise((resolve) =>
      socket.once("data", (chunk) => resolve(String(chunk).slice(9, 12)))
    );
    socket.destroy();
    assert.equal({ answer, runs: countRuns(mesh) }, {
      answer: "503",
      runs: [0],
    });
  },
);

testMesh(
  "a stopping daemon serves the requests that it accepted",
  2,
  async (mesh) => {
    for (const { backend } of mesh.instances) backend.workMs = 300;
    const accepted = mesh.call(0, { path: "/stock/1" });
    await sleep(50);
    const stopped = mesh.instances[0]!.sidecar.stop();
    const during = await mesh.call(0, { path: "/stock/2", timeoutMs: 1_000 });
    const first = await accepted;
    await stopped;
    assert.equal({
      first: first.status,
      during: during.status,
      connection: during.headers.connection,
    }, { first: 200, during: 200, connection: "close" });
  },
);

testMesh(
  "a daemon reports requests from before its start as ended",
  1,
  async (mesh) => {
    const [host, port] = mesh.instances[0]!.settings.peerAddress.split(":");
    const queryState = async (id: string, ageMs: number) => {
      const url = `http://${host}:${port}${STATUS_PATH}${id}?ageMs=${ageMs}`;
      return await (await fetch(url)).text();
    };
    assert.equal([
      await queryState("new", 1),
      await queryState("old", 86_400_000),
    ], [
      "unknown",
      "ended",
    ]);
  },
);

test.run();
