import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  CONFIG_KEY,
  FakeMesh,
  type MeshReply,
  sampleConfig,
} from "../../platform/fakes/mesh.ts";
import { until } from "../../testkit/until.ts";

const LARGE_KEY = "key-of-large";
const SMALL_KEY = "key-of-small";
const LARGE = { limitPerS: 20, burst: 5 };
/** The rule: (20 x 5 + 5) x 1.1 + 20 requests in 5 s. */
const WINDOW_MS = 5_000;
const MAX_IN_WINDOW = 135.5;
/** Time between two requests of the load, in ms. */
const PERIOD_MS = 12;

function configWith(version: number, perS: number): string {
  return JSON.stringify({
    ...sampleConfig(version),
    Tenants: [
      {
        Name: "large",
        ApiKeys: [LARGE_KEY],
        PerS: perS,
        Burst: LARGE.burst,
      },
      { Name: "small", ApiKeys: [SMALL_KEY], PerS: 10, Burst: 5 },
    ],
  });
}

async function applyConfig(mesh: FakeMesh, version = 2): Promise<void> {
  mesh.store.put(CONFIG_KEY, configWith(version, LARGE.limitPerS));
  await until(
    async () => (await mesh.call(0, { path: "/stock/1" })).status === 401,
    "requests need a key",
  );
  // Accounts start empty.
  await sleep(1_000);
}

interface Answer {
  readonly key: string;
  readonly daemon: number;
  readonly atMs: number;
  readonly reply: MeshReply;
}

/** Sends requests of the large organisation, and every tenth of the small. */
async function load(
  mesh: FakeMesh,
  daemons: readonly number[],
  forMs: number,
): Promise<readonly Answer[]> {
  const answers: Promise<Answer>[] = [];
  const untilMs = performance.now() + forMs;
  for (let index = 0; performance.now() < untilMs; index++) {
    const key = index % 10 === 0 ? SMALL_KEY : LARGE_KEY;
    const daemon = daemons[index % daemons.length]!;
    const call = mesh.call(daemon, {
      path: "/stock/1",
      headers: { "x-key": key },
    });
    answers.push(call.then((reply) => ({
      key,
      daemon,
      atMs: performance.now(),
      reply,
    })));
    await sleep(PERIOD_MS);
  }
  return await Promise.all(answers);
}

const countStatus = (answers: readonly Answer[], status: number) =>
  answers.filter(({ reply }) => reply.status === status).length;
const ofKey = (answers: readonly Answer[], wanted: string) =>
  answers.filter(({ key }) => key === wanted);

test("an organisation is held to its limit over all daemons", async () => {
  const mesh = await FakeMesh.start(3);
  try {
    for (const { backend } of mesh.instances) backend.workMs = 1;
    await applyConfig(mesh);
    const answers = await load(mesh, [0, 1, 2], WINDOW_MS);
    const large = ofKey(answers, LARGE_KEY);
    const refused = large.filter(({ reply }) => reply.status === 429);
    const waitsS = refused.map(({ reply }) =>
      Number(reply.headers["retry-after"])
    );
    const served = countStatus(large, 200);
    assert.equal({
      isBounded: served <= MAX_IN_WINDOW,
      isQuotaUsed: served >= LARGE.limitPerS * WINDOW_MS / 1_000 * 0.8,
      isRefused: refused.length > 0,
      areWaitsNamed: waitsS.every((waitS) => waitS > 0 && waitS <= 1),
      small: countStatus(ofKey(answers, SMALL_KEY), 429),
      others: answers.length - countStatus(answers, 200) - refused.length,
    }, {
      isBounded: true,
      isQuotaUsed: true,
      isRefused: true,
      areWaitsNamed: true,
      small: 0,
      others: 0,
    }, `served ${served}`);
  } finally {
    await mesh.stop();
  }
});

test("an organisation has its whole limit at one of several daemons", async () => {
  const mesh = await FakeMesh.start(3);
  try {
    for (const { backend } of mesh.instances) backend.workMs = 1;
    await applyConfig(mesh);
    const answers = await load(mesh, [1], 3_000);
    const served = countStatus(ofKey(answers, LARGE_KEY), 200);
    assert.ok(served >= 3 * LARGE.limitPerS * 0.8, `served ${served}`);
    assert.ok(served <= MAX_IN_WINDOW, `served ${served}`);
  } finally {
    await mesh.stop();
  }
});

// Guards against quotas that nobody keeps, or that refuse everything, when the
// daemon with the accounts has ended.
test("daemons keep to their shares when an account daemon has ended", async () => {
  const mesh = await FakeMesh.start(3);
  try {
    for (const { backend } of mesh.instances) backend.workMs = 1;
    await applyConfig(mesh);
    const held = await Promise.all(
      mesh.instances.map(async ({ settings }) => {
        const metrics = await fetch(`http://${settings.metricsAddress}/`);
        return (await metrics.text()).includes(
          "sesamepond_quota_groups_held 1\n",
        );
      }),
    );
    const account = held.indexOf(true);
    const others = [0, 1, 2].filter((index) => index !== account);
    mesh.instances[account]!.sidecar.kill();
    const answers = await load(mesh, others, WINDOW_MS);
    const large = ofKey(answers, LARGE_KEY);
    const served = countStatus(large, 200);
    assert.equal(
      {
        holders: held.filter((isHolder) => isHolder).length,
        isBounded: served <= MAX_IN_WINDOW,
        isServed: served >= 15,
        others: large.length - served - countStatus(large, 429),
      },
      { holders: 1, isBounded: true, isServed: true, others: 0 },
      `${served}`,
    );
  } finally {
    await mesh.stop();
  }
});

test("a limit that is removed holds no more", async () => {
  const mesh = await FakeMesh.start(2);
  try {
    for (const { backend } of mesh.instances) backend.workMs = 1;
    await applyConfig(mesh);
    mesh.store.put(CONFIG_KEY, configWith(3, 0));
    await sleep(1_000);
    const answers = await load(mesh, [0, 1], 1_500);
    assert.is(countStatus(answers, 429), 0);
  } finally {
    await mesh.stop();
  }
});

test.run();
