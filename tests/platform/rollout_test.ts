import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { BackendFault } from "../../platform/fakes/backend.ts";
import { FakeMesh, type MeshInstance } from "../../platform/fakes/mesh.ts";
import { until } from "../../testkit/until.ts";

const FORMER_COUNT = 3;
const DURATION_S = 10;
/** Pause between two requests, in ms. */
const REQUEST_EVERY_MS = 8;
const EXPOSE_SHARE = 0.1;
const EXPOSE_SLACK = 50;

/** Requests to all daemons in turn, until they are stopped. */
class Load {
  readonly statuses = new Map<number, number>();
  requests = 0;
  readonly #mesh: FakeMesh;
  #isStopped = false;
  readonly #open = new Set<Promise<void>>();
  readonly #running: Promise<void>;

  constructor(mesh: FakeMesh) {
    this.#mesh = mesh;
    this.#running = this.#run();
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#running;
    await Promise.all(this.#open);
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      const index = this.requests++ % this.#mesh.instances.length;
      const isOrder = this.requests % 3 === 0;
      const sent = this.#mesh.call(
        index,
        isOrder
          ? { path: "/orders/1", method: "POST", body: "x" }
          : { path: "/stock/1" },
      ).then(({ status }) => {
        this.statuses.set(status, (this.statuses.get(status) ?? 0) + 1);
      }, () => {
        // The daemon is being restarted.
      }).finally(() => this.#open.delete(sent));
      this.#open.add(sent);
      await sleep(REQUEST_EVERY_MS);
    }
  }
}

/** Starts a mesh with two versions of a service. */
async function startMesh(): Promise<
  { mesh: FakeMesh; formers: MeshInstance[]; targets: MeshInstance[] }
> {
  const mesh = await FakeMesh.start(FORMER_COUNT);
  for (let index = 0; index < FORMER_COUNT; index++) {
    await mesh.add({ Version: "v2", born: Date.now() });
  }
  await mesh.waitUntilSettled();
  return {
    mesh,
    formers: mesh.instances.slice(0, FORMER_COUNT),
    targets: mesh.instances.slice(FORMER_COUNT),
  };
}

function order(mesh: FakeMesh): void {
  mesh.store.put(
    "op/rollout/stock",
    JSON.stringify({
      Service: "stock",
      TargetVersion: "v2",
      DurationS: DURATION_S,
    }),
  );
}

function statusOf(mesh: FakeMesh): unknown {
  const status = mesh.store.get("status/rollout/stock");
  return status === undefined ? undefined : JSON.parse(status);
}

function countRuns(instances: readonly MeshInstance[]): number {
  return instances.reduce((sum, { backend }) => sum + backend.runs.length, 0);
}

async function waitForState(
  mesh: FakeMesh,
  state: string,
  timeoutMs: number,
): Promise<void> {
  await until(
    () => (statusOf(mesh) as { State?: string } | undefined)?.State === state,
    `the rollout is ${state}`,
    timeoutMs,
  );
}

// Guards against requests to a version that no order allows, and against a good
// version that is not in use in time.
test("a good version replaces the former one within the time limit", async () => {
  const { mesh, formers, targets } = await startMesh();
  try {
    const load = new Load(mesh);
    await sleep(1_500);
    const beforeOrder = countRuns(targets);
    order(mesh);
    await waitForState(mesh, "running", 2_500);
    await waitForState(mesh, "finished", DURATION_S * 1_000);
    const formersAtFinish = countRuns(formers);
    await sleep(800);
    await load.stop();
    assert.equal({
      beforeOrder,
      afterFinish: countRuns(formers) - formersAtFinish,
      statuses: [...load.statuses.keys()],
      status: statusOf(mesh),
    }, {
      beforeOrder: 0,
      afterFinish: 0,
      statuses: [200],
      status: { Service: "stock", TargetVersion: "v2", State: "finished" },
    });
  } finally {
    await mesh.stop();
  }
});

// Guards against a bad version that gets more requests than allowed.
test("a version that loses its responses is rolled back", async () => {
  const { mesh, targets } = await startMesh();
  try {
    for (const { backend } of targets) backend.fault = BackendFault.Reset;
    const load = new Load(mesh);
    await sleep(1_000);
    order(mesh);
    await waitForState(mesh, "rolled_back", DURATION_S * 1_000);
    const atRollback = countRuns(targets);
    await sleep(2_000);
    const afterRollback = countRuns(targets);
    await sleep(1_000);
    await load.stop();
    assert.equal({
      isWithinBound:
        afterRollback <= EXPOSE_SHARE * load.requests + EXPOSE_SLACK,
      hasBeenTried: atRollback > 0,
      late: countRuns(targets) - afterRollback,
    }, { isWithinBound: true, hasBeenTried: true, late: 0 });
  } finally {
    await mesh.stop();
  }
});

// Guards against a rollout that nobody decides after its decider has ended.
test("another daemon takes over when the one that decides is gone", async () => {
  const { mesh, targets } = await startMesh();
  try {
    const load = new Load(mesh);
    await sleep(1_000);
    order(mesh);
    await waitForState(mesh, "running", 2_500);
    await sleep(1_000);
    const record = () =>
      JSON.parse(mesh.store.get("sesamepond/rollouts/stock")!);
    const { decider } = record();
    const index = mesh.instances.findIndex(({ settings }) =>
      settings.instance === decider
    );
    await mesh.restart(index);
    await until(
      () => record().decider !== decider || record().phase !== "running",
      "another daemon decides",
      8_000,
    );
    await until(
      () => !["running", "draining"].includes(record().phase),
      "the rollout has ended",
      DURATION_S * 1_000 + 8_000,
    );
    await load.stop();
    const { phase } = record();
    const isBounded = phase === "finished" ||
      countRuns(targets) <= EXPOSE_SHARE * load.requests + EXPOSE_SLACK;
    assert.equal({ isBounded }, { isBounded: true });
  } finally {
    await mesh.stop();
  }
});

test.run();
