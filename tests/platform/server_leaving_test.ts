import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeMesh } from "../../platform/fakes/mesh.ts";

const REQUESTS = 30;

async function sendRequests(mesh: FakeMesh, index: number): Promise<number[]> {
  const statuses: number[] = [];
  for (let count = 0; count < REQUESTS; count++) {
    statuses.push((await mesh.call(index, { path: "/stock/1" })).status);
  }
  return statuses;
}

// Guards against requests to a backend server whose responses say that it
// leaves, where its announcement is late or lost.
test("a backend server that says in a response that it leaves gets no new requests", async () => {
  const mesh = await FakeMesh.start(2, { domains: 1 });
  try {
    const { backend } = mesh.instances[0]!;
    backend.isLeaving = true;
    // The first response says so.
    await sendRequests(mesh, 0);
    await sendRequests(mesh, 1);
    const before = backend.runs.length;
    await mesh.announce(0, "ready");
    const statuses = [
      ...await sendRequests(mesh, 0),
      ...await sendRequests(mesh, 1),
    ];
    assert.equal({
      runs: backend.runs.length - before,
      statuses: [...new Set(statuses)],
    }, { runs: 0, statuses: [200] });
  } finally {
    await mesh.stop();
  }
});

// Guards against a daemon that forgets at a restart, while the others that have
// passed on the response are still bound.
test("other daemons send nothing to a leaving backend server after its daemon restarts", async () => {
  const mesh = await FakeMesh.start(2, { domains: 1 });
  try {
    const { backend } = mesh.instances[0]!;
    const stored = mesh.store.get("sesamepond/backends/instance-0")!;
    backend.isLeaving = true;
    await sendRequests(mesh, 1);
    await sleep(300);
    // The former record, as if the leaving could not be recorded.
    mesh.store.put("sesamepond/backends/instance-0", stored);
    await mesh.restart(0);
    await mesh.announce(0, "ready", { born: 1_000 });
    await mesh.waitUntilReady();
    const before = backend.runs.length;
    await sendRequests(mesh, 1);
    assert.equal(backend.runs.length - before, 0);
  } finally {
    await mesh.stop();
  }
});

test.run();
