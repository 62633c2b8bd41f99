import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  maxRunsInWindow,
  type ModelPlan,
  type ModelRequest,
  type ModelResult,
  QuotaModel,
} from "../../../testkit/quota_model.ts";
import { Random } from "../../protocol/random.ts";
import { maxInWindow, type QuotaBounds, type QuotaLimit } from "./mod.ts";

const BOUNDS: QuotaBounds = { windowMs: 5_000, over: 0.1, slack: 20 };
const INSTANCES = 64;
const DOMAINS = 3;
const ORGANISATIONS = 75;
const ZIPF_EXPONENT = 1.2;
const REQUESTS_PER_S = 1_300;
const DURATION_MS = 12_000;
/** Requests count from then on: the daemons have leases and the accounts fill. */
const SETTLED_MS = 2_000;
const SMALL = "small";

interface Load {
  /** Factors on the usual traffic, by organisation. */
  readonly factors?: ReadonlyMap<string, number>;
  /** Organisation that sends nothing until its account has filled. */
  readonly late?: string;
  /** Chooses the daemon that a request enters at. */
  readonly enter?: (organisation: string, atMs: number) => number | undefined;
  readonly deliver?: ModelPlan["deliver"];
}

const nameOf = (index: number) => `org-${index}`;

/** Usual requests per second of each organisation. */
function computeUsual(): ReadonlyMap<string, number> {
  const weights = Array.from(
    { length: ORGANISATIONS },
    (_, index) => (index + 1) ** -ZIPF_EXPONENT,
  );
  const sum = weights.reduce((total, weight) => total + weight, 0);
  return new Map([
    ...weights.map((weight, index): [string, number] => [
      nameOf(index),
      REQUESTS_PER_S * weight / sum,
    ]),
    [SMALL, 3],
  ]);
}

const USUAL = computeUsual();

/** A limit of twice the usual traffic. */
function limitOf(organisation: string): QuotaLimit {
  const usual = USUAL.get(organisation)!;
  return { limitPerS: 2 * usual, burst: usual };
}

/** Requests at random times. */
function buildRequests(load: Load, random: Random): ModelRequest[] {
  const requests: ModelRequest[] = [];
  for (const [organisation, usual] of USUAL) {
    const perS = usual * (load.factors?.get(organisation) ?? 1);
    const count = Math.round(perS * DURATION_MS / 1_000);
    for (let index = 0; index < count; index++) {
      const atMs = 1 + random.below(DURATION_MS - 1);
      if (organisation === load.late && atMs < SETTLED_MS) continue;
      requests.push({
        atMs,
        organisation,
        daemon: load.enter?.(organisation, atMs) ?? random.below(INSTANCES),
      });
    }
  }
  return requests.sort((a, b) => a.atMs - b.atMs);
}

function runLoad(load: Load, seed = 1) {
  const random = new Random(seed);
  const requests = buildRequests(load, random);
  const model = new QuotaModel({
    members: Array.from({ length: INSTANCES }, (_, index) => ({
      instance: `i-${index}`,
      domain: `d-${index % DOMAINS}`,
      linkMbps: index < 6 ? 200 : 12,
    })),
    bounds: BOUNDS,
    durationMs: DURATION_MS,
    requests,
    limits: [...USUAL.keys()].map((organisation) => ({
      atMs: 0,
      organisation,
      limit: limitOf(organisation),
    })),
    maxNoticeMs: 0,
    deliver: load.deliver ?? (() => 1 + random.below(2)),
    restarts: [],
    changes: [],
  }, random);
  const results = model.run();
  return { results, messages: model.messages };
}

const settled = (results: readonly ModelResult[]) =>
  results.filter(({ atMs }) => atMs >= SETTLED_MS);
const countRefused = (results: readonly ModelResult[]) =>
  settled(results).filter(({ isAdmitted }) => !isAdmitted).length;
const ofOrganisation = (results: readonly ModelResult[], name: string) =>
  results.filter(({ organisation }) => organisation === name);

/** Returns the organisations that break the bound in some window. */
function findBroken(results: readonly ModelResult[]): string[] {
  return [...USUAL.keys()].filter((organisation) => {
    const times = ofOrganisation(results, organisation)
      .filter(({ isAdmitted }) => isAdmitted).map(({ atMs }) => atMs);
    return maxRunsInWindow(times, BOUNDS.windowMs) >
      maxInWindow(limitOf(organisation), BOUNDS);
  });
}

/** Share of an organisation's quota that ran. */
function shareOfQuota(results: readonly ModelResult[], name: string): number {
  const runs = settled(ofOrganisation(results, name))
    .filter(({ isAdmitted }) => isAdmitted).length;
  return runs * 1_000 / (DURATION_MS - SETTLED_MS) / limitOf(name).limitPerS;
}

/** Numbers of refused requests of all organisations but some. */
function refusedOthers(results: readonly ModelResult[], names: string[]) {
  return countRefused(
    results.filter(({ organisation }) => !names.includes(organisation)),
  );
}

// Load: 1,300 requests per second over 64 daemons, all within their quotas.
test("usual traffic is never refused, also of a small organisation", () => {
  const { results, messages } = runLoad({});
  const perS = messages * 1_000 / DURATION_MS;
  assert.equal({
    refused: countRefused(results),
    refusedSmall: countRefused(ofOrganisation(results, SMALL)),
    broken: findBroken(results),
  }, { refused: 0, refusedSmall: 0, broken: [] });
  assert.ok(perS < 1_500, `${Math.round(perS)} messages per second`);
});

// Load: organisations at 8.5 times their usual traffic, and at twice that.
// Guards against refusals that cost messages.
for (const names of [[nameOf(0)], [nameOf(0), nameOf(3), nameOf(20)]]) {
  test(`${names.length} organisations far over their limits are held to them`, () => {
    const runAt = (factor: number) =>
      runLoad({ factors: new Map(names.map((name) => [name, factor])) });
    const { results, messages } = runAt(8.5);
    const twice = runAt(17);
    assert.equal({
      broken: [...findBroken(results), ...findBroken(twice.results)],
      refusedOthers: refusedOthers(results, names),
      isQuotaUsed: names.every((name) => shareOfQuota(results, name) > 0.95),
    }, { broken: [], refusedOthers: 0, isQuotaUsed: true });
    const added = twice.messages - messages;
    const refused = countRefused(twice.results) - countRefused(results);
    assert.ok(
      added < 0.02 * refused,
      `${added} messages more for ${refused} refusals more`,
    );
  });
}

// Load: the requests of one organisation, 0.9 of its limit, enter at one daemon.
test("an organisation has its whole quota at one daemon", () => {
  const { results } = runLoad({
    factors: new Map([[nameOf(3), 1.8]]),
    late: nameOf(3),
    enter: (organisation) => organisation === nameOf(3) ? 17 : undefined,
  });
  assert.equal(
    { broken: findBroken(results), refused: countRefused(results) },
    { broken: [], refused: 0 },
  );
});

// Load: the same requests enter at another daemon every 250 ms.
test("an organisation that moves between daemons keeps its quota", () => {
  const { results } = runLoad({
    factors: new Map([[nameOf(3), 1.8]]),
    late: nameOf(3),
    enter: (organisation, atMs) =>
      organisation === nameOf(3)
        ? Math.floor(atMs / 250) * 7 % INSTANCES
        : undefined,
  });
  assert.equal(
    { broken: findBroken(results), refused: countRefused(results) },
    { broken: [], refused: 0 },
  );
});

// Load: all organisations at 8.5 times their usual traffic while one domain is
// cut off from the others for 6 s.
test("a partition of the network lets no organisation exceed its bound", () => {
  const random = new Random(2);
  const { results } = runLoad({
    factors: new Map([...USUAL.keys()].map((name) => [name, 3])),
    deliver: (from, to, atMs) =>
      atMs > 3_000 && atMs < 9_000 &&
        (from % DOMAINS === 0) !== (to % DOMAINS === 0)
        ? undefined
        : 1 + random.below(2),
  });
  assert.equal(findBroken(results), []);
});

test.run();
