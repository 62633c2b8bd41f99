import { test } from "uvu";
import * as assert from "uvu/assert";
import { type BackendRun, RunEnd } from "../platform/fakes/backend.ts";
import {
  checkSidecar,
  type ConfigVersion,
  KEY_HEADER,
  ORGANISATION_HEADER,
  type Rollout,
  type SoakOrganisation,
} from "./sidecar_checks.ts";
import type { SentRequest } from "./violations.ts";

const LARGE: SoakOrganisation = {
  name: "large",
  keys: ["key-1", "key-2"],
  perS: 10,
  burst: 5,
};
/** (10 x 5 + 5) x 1.1 + 20 requests in 5 s, and with a limit of 2 and 1. */
const MAX_IN_WINDOW = 80;
const MAX_IN_LOWERED_WINDOW = 32;

function createVersion(
  version: number,
  fields: Partial<SoakOrganisation>,
  times: readonly [number, number],
): ConfigVersion {
  return {
    version,
    organisations: [{ ...LARGE, ...fields }],
    writtenAtMs: times[0],
    inForceAtMs: times[1],
  };
}

const FIRST = createVersion(1, {}, [-1_000, 0]);

function createRequest(fields: Partial<SentRequest> = {}): SentRequest {
  return {
    id: "r1",
    path: "/orders/1",
    isIdempotent: false,
    headers: { [KEY_HEADER]: "key-1" },
    sentAtMs: 10_000,
    endedAtMs: 10_050,
    status: 200,
    ...fields,
  } as SentRequest;
}

function createRun(fields: Partial<BackendRun> = {}): BackendRun {
  return {
    id: "r1",
    path: "/orders/1",
    headers: { [ORGANISATION_HEADER]: "large" },
    atMs: 10_010,
    end: RunEnd.Answered,
    endedAtMs: 10_020,
    ...fields,
  } as BackendRun;
}

interface Case {
  readonly requests?: readonly SentRequest[];
  readonly runs?: readonly BackendRun[];
  readonly targetRuns?: readonly BackendRun[];
  readonly versions?: readonly ConfigVersion[];
  readonly rollouts?: readonly Rollout[];
}

function check(fields: Case) {
  const { runs = [createRun()], targetRuns = [] } = fields;
  const createProcess = (version: string, runs: readonly BackendRun[]) => ({
    id: version,
    instance: "a",
    version,
    runs,
    drainedAtMs: Infinity,
  });
  const { requests = [createRequest()] } = fields;
  return checkSidecar({
    sent: new Map(requests.map((request) => [request.id, request])),
    processes: [createProcess("v1", runs), createProcess("v2", targetRuns)],
    versions: fields.versions ?? [FIRST],
    rollouts: fields.rollouts ?? [],
    maxAttempts: 2,
  });
}

const problemsOf = (fields: Case) => check(fields).problems;

test("checkSidecar() finds idempotent requests that run too often, or refused", () => {
  const idempotent = createRequest({ isIdempotent: true });
  const runs = [createRun(), createRun(), createRun()];
  assert.equal([
    problemsOf({ requests: [idempotent], runs: runs.slice(1) }),
    problemsOf({ requests: [idempotent], runs }),
    problemsOf({ requests: [{ ...idempotent, status: 429 }] }),
    problemsOf({ requests: [{ ...idempotent, status: 503 }] }),
    problemsOf({ requests: [{ ...idempotent, status: 503 }], runs: [] }),
    problemsOf({ requests: [{ ...idempotent, status: 502 }] }),
  ], [
    [],
    ["r1 ran 3 times"],
    ["r1 got 429 and ran"],
    ["r1 got 503 and ran"],
    [],
    [],
  ]);
});

test("checkSidecar() finds keys that leak and organisations that are wrong", () => {
  const publicRequest = createRequest({ path: "/public/1", headers: {} });
  const withoutKey = createRequest({ headers: {} });
  const run = (headers: Record<string, string>) => ({
    runs: [createRun({ headers })],
  });
  assert.equal([
    problemsOf(run({ [ORGANISATION_HEADER]: "large", [KEY_HEADER]: "" })),
    problemsOf(run({ [ORGANISATION_HEADER]: "large", via: "a key-1 b" })),
    problemsOf(run({ [ORGANISATION_HEADER]: "small" })),
    problemsOf(run({})),
    problemsOf({ requests: [publicRequest], ...run({}) }),
    problemsOf({ requests: [publicRequest] }),
    problemsOf({ requests: [withoutKey], ...run({}) }),
  ], [
    ["r1 ran with its key: x-key"],
    ["r1 ran with its key: via"],
    ["r1 ran for small instead of large"],
    ["r1 ran for undefined instead of large"],
    [],
    ["r1 ran for large instead of undefined"],
    ["r1 ran with key undefined, which is not in force"],
  ]);
});

test("checkSidecar() finds keys that are valid for too long, or not in time", () => {
  const removed = { keys: ["key-2"] };
  const problemsAfter = (second: ConfigVersion, atMs: number) =>
    problemsOf({ versions: [FIRST, second], runs: [createRun({ atMs })] });
  const problemsOfDenial = (second: ConfigVersion, sentAtMs: number) =>
    problemsOf({
      versions: [{ ...FIRST, organisations: [] }, second],
      requests: [createRequest({ status: 401, sentAtMs, endedAtMs: sentAtMs })],
      runs: [],
    });
  const inForce = createVersion(2, removed, [6_000, 7_000]);
  const neverInForce = createVersion(2, removed, [6_000, Infinity]);
  const added = createVersion(2, {}, [6_000, 7_000]);
  assert.equal([
    problemsAfter(inForce, 9_500),
    problemsAfter(inForce, 9_501),
    problemsAfter(neverInForce, 20_000),
    problemsOf({ runs: [createRun({ atMs: -1_001 })] }),
    problemsOfDenial(added, 9_500),
    problemsOfDenial(added, 9_501),
    problemsOfDenial(neverInForce, 9_501),
  ], [
    [],
    ["r1 ran with key key-1, which is not in force"],
    [],
    ["r1 ran with key key-1, which is not in force"],
    [],
    ["r1 got 401 with key key-1, which is in force"],
    [],
  ]);
});

/** Creates requests of an organisation that run evenly over a period. */
function createLoad(count: number, fromMs: number, forMs: number): Case {
  const ids = Array.from({ length: count }, (_, index) => `r${index}`);
  return {
    requests: ids.map((id) => createRequest({ id })),
    runs: ids.map((id, index) =>
      createRun({ id, atMs: fromMs + index * forMs / count })
    ),
  };
}

test("checkSidecar() finds windows with more requests than a quota's bound", () => {
  const lowered = createVersion(2, { perS: 2, burst: 1 }, [8_000, 10_000]);
  const versions = [FIRST, lowered];
  const countProblems = (load: Case) => problemsOf(load).length;
  const within = createLoad(MAX_IN_WINDOW, 1_000, 4_999);
  const over = createLoad(MAX_IN_WINDOW + 1, 1_000, 4_999);
  assert.equal({
    within: countProblems(within),
    over: problemsOf(over),
    spread: countProblems(createLoad(MAX_IN_WINDOW + 1, 1_000, 5_100)),
    repeated: countProblems({
      requests: within.requests!.map((one) => ({ ...one, isIdempotent: true })),
      runs: [...within.runs!, ...within.runs!],
    }),
    beforeLowered: countProblems({
      ...createLoad(MAX_IN_WINDOW, 9_900, 4_000),
      versions: [FIRST, { ...lowered, inForceAtMs: 20_000 }],
    }),
    withinLowered: countProblems({
      ...createLoad(MAX_IN_LOWERED_WINDOW, 10_001, 4_999),
      versions,
    }),
    overLowered: countProblems({
      ...createLoad(MAX_IN_LOWERED_WINDOW + 1, 10_001, 4_999),
      versions,
    }),
  }, {
    within: 0,
    over: ["81 requests of large ran in the 5 s from 1000; the bound is 80.5"],
    spread: 0,
    repeated: 0,
    beforeLowered: 0,
    withinLowered: 0,
    overLowered: 1,
  });
});

test("checkSidecar() finds versions that get too many requests", () => {
  const bad: Rollout = {
    version: "v2",
    description: "v2 (slow)",
    isBad: true,
    badRuns: new Set(),
    orderedAtMs: 10_000,
    limitAtMs: 18_000,
  };
  const problemsOfTarget = (
    count: number,
    fromMs: number,
    { badAnswers = count, ...fields }: Partial<Rollout> & {
      readonly badAnswers?: number;
    } = {},
  ) => {
    // With these runs, the bound is 60 and a tenth of the runs of the target.
    const { requests, runs: formerRuns } = createLoad(100, 10_000, 8_000);
    const targetRuns = Array.from({ length: count }, (_, index) =>
      createRun({
        id: `t${index}`,
        atMs: fromMs + index,
        endedAtMs: fromMs + index + 5,
      }));
    return problemsOf({
      // Without a limit, as this is not about quotas.
      versions: [createVersion(1, { perS: 0 }, [-1_000, 0])],
      requests: [
        ...requests!,
        ...targetRuns.map(({ id }) => createRequest({ id })),
      ],
      runs: formerRuns!,
      targetRuns,
      rollouts: [{
        ...bad,
        badRuns: new Set(targetRuns.slice(0, badAnswers)),
        ...fields,
      }],
    });
  };
  assert.equal([
    problemsOfTarget(66, 11_000),
    problemsOfTarget(67, 11_000),
    problemsOfTarget(67, 11_000, { isBad: false }),
    problemsOfTarget(1, 9_999, { isBad: false }),
    // The 50th bad answer is at 13,004 ms after its order.
    problemsOfTarget(5_055, 22_950).length,
    problemsOfTarget(5_056, 22_950).length,
    problemsOfTarget(5_056, 22_950, { badAnswers: 49 }).length,
  ], [
    [],
    ["v2 (slow) got 67 requests; the bound is 66.7"],
    [],
    ["v2 (slow) got 1 before its order"],
    0,
    1,
    0,
  ]);
});

test("checkSidecar() counts what it has looked at", () => {
  const { figures } = check({});
  assert.equal(
    [figures.atMostOnce, figures.runsWithKey, figures.quotaRuns],
    [1, 1, 1],
  );
});

test.run();
