import { test } from "uvu";
import * as assert from "uvu/assert";
import { Random } from "../../protocol/random.ts";
import { RolloutPhase } from "../../protocol/rollout.ts";
import {
  type SimulatedFaults,
  type SimulatedRequest,
  type SimulatedResult,
  simulateRollout,
  type SimulationOptions,
  type SimulationOutcome,
} from "../../../testkit/simulated_rollout.ts";

/** Share of the requests that a bad version may get, and requests beyond it. */
const EXPOSE_SHARE = 0.1;
const EXPOSE_SLACK = 50;
const SCHEDULES = 1_000;
const NO_FAULTS: SimulatedFaults = { lostShare: 0, maxViewDelayMs: 500 };

/** Response time of backend servers of uneven speed, some slow for a time. */
function usualMs(random: Random): number {
  const speed = random.pick([0.55, 1.2, 1.2, 1.2])!;
  const pace = random.fraction() < 0.15 ? 2.5 : 1;
  const size = random.fraction() < 0.03 ? 7 : 1;
  return 80 * speed * pace * size * (0.7 + 0.6 * random.fraction());
}

const good = ({ random }: SimulatedRequest): SimulatedResult => ({
  isFailure: random.fraction() < 0.01,
  serviceMs: usualMs(random),
  isBad: false,
});

/** Makes a version of which some answers are failures while a condition holds. */
function failing(
  share: number,
  isActive: (request: SimulatedRequest) => boolean = () => true,
) {
  return (request: SimulatedRequest): SimulatedResult => {
    const isBad = request.isTarget && isActive(request) &&
      request.random.fraction() < share;
    const usual = good(request);
    return { ...usual, isFailure: usual.isFailure || isBad, isBad };
  };
}

/** Makes a version of which some answers take several times as long. */
function slow(share: number, factor: number) {
  return (request: SimulatedRequest): SimulatedResult => {
    const isBad = request.isTarget && request.random.fraction() < share;
    const usual = good(request);
    const serviceMs = usual.serviceMs * (isBad ? factor : 1);
    return { ...usual, serviceMs, isBad };
  };
}

/** Times of a fast service, of which one response in 20 is slow. */
const fast = ({ random }: SimulatedRequest): SimulatedResult => ({
  isFailure: random.fraction() < 0.01,
  serviceMs: random.below(20) === 0 ? 300 : 5 + random.below(40),
  isBad: false,
});

/** Makes a version of a fast service that is bad under load. */
function badUnderLoad(share: number, fault: Partial<SimulatedResult>) {
  return (request: SimulatedRequest): SimulatedResult => {
    const isBad = request.isTarget && request.targetPerS > 32 &&
      request.random.fraction() < share;
    return { ...fast(request), ...(isBad ? fault : {}), isBad };
  };
}

const VERSIONS: Readonly<
  Record<string, (request: SimulatedRequest) => SimulatedResult>
> = {
  "fails always": failing(1),
  "fails sometimes": failing(0.2),
  "fails later": failing(0.5, ({ elapsedMs }) => elapsedMs > 4_000),
  "fails under load": failing(0.5, ({ targetPerS }) => targetPerS > 60),
  "fails on one route": failing(0.4, ({ route }) => route === "alerts"),
  "is slow": slow(1, 4),
  "is sometimes slow": slow(0.35, 5),
};

function simulate(overrides: Partial<SimulationOptions>): SimulationOutcome {
  return simulateRollout({
    seed: 1,
    daemons: 12,
    durationMs: 20_000,
    requestsPerS: 300,
    routes: ["readings", "alerts", "exports"],
    resultOf: good,
    faults: NO_FAULTS,
    ...overrides,
  });
}

function isWithinBound({ exposed, requests }: SimulationOutcome): boolean {
  return exposed <= EXPOSE_SHARE * requests + EXPOSE_SLACK;
}

/** A fleet with little traffic, whose results come to few until all move. */
const LITTLE_TRAFFIC = {
  daemons: 8,
  durationMs: 8_000,
  requestsPerS: 80,
  routes: ["orders", "items", "exports"],
};

/** Draws the faults of one schedule. */
function drawFaults(seed: number): SimulatedFaults {
  const random = new Random(seed);
  const at = () => 50 * random.below(300);
  const mayBe = <T>(value: T) => random.fraction() < 0.4 ? value : undefined;
  return {
    lostShare: random.pick([0, 0.05, 0.3])!,
    maxViewDelayMs: random.pick([300, 1_500, 2_400])!,
    crashAtMs: mayBe(at()),
    hangAtMs: mayBe(at()),
    hangForMs: 1_000 + random.below(9_000),
    splitAtMs: mayBe(at()),
    splitForMs: 1_000 + random.below(9_000),
    hasSplitStore: random.fraction() < 0.5,
    storeDownAtMs: mayBe(at()),
    storeDownForMs: 1_000 + random.below(9_000),
  };
}

for (const durationMs of [10_000, 20_000, 60_000]) {
  for (const requestsPerS of [20, 95, 670]) {
    // Guards against a good version that is not in use by the time limit.
    test(`a good version is finished in ${durationMs} ms at ${requestsPerS} requests per second`, () => {
      const outcomes = Array.from(
        { length: 10 },
        (_, seed) => simulate({ seed, durationMs, requestsPerS }),
      );
      assert.equal(
        outcomes.map(({ phase, phaseAtMs, afterFinish }) => ({
          phase,
          isInTime: phaseAtMs < durationMs - 500,
          afterFinish,
        })),
        outcomes.map(() => ({
          phase: RolloutPhase.Finished,
          isInTime: true,
          afterFinish: 0,
        })),
      );
    });
  }
}

for (const [name, resultOf] of Object.entries(VERSIONS)) {
  // Guards against a bad version that gets too many requests, or too long.
  test(`a version that ${name} is rolled back within the bounds`, () => {
    const outcomes = Array.from(
      { length: 20 },
      (_, seed) => simulate({ seed, resultOf }),
    );
    assert.equal(
      outcomes.map((outcome) => ({
        phase: outcome.phase,
        isWithinBound: isWithinBound(outcome),
        lateExposed: outcome.lateExposed,
      })),
      outcomes.map(() => ({
        phase: RolloutPhase.RolledBack,
        isWithinBound: true,
        lateExposed: 0,
      })),
    );
  });
}

for (
  const [name, resultOf, hasResponseTimes] of [
    ["fails always", badUnderLoad(1, { isFailure: true }), true],
    ["often fails", badUnderLoad(0.6, { isFailure: true }), true],
    // With the time of its responses, it may get more than the bound.
    ["is slow", badUnderLoad(1, { serviceMs: 350 }), false],
  ] as const
) {
  // Guards against a version that is finished with the few results of a smaller
  // share, so that nothing can roll it back: 80 requests per second, bad from 32.
  test(`a version that ${name} under load is not finished at 80 requests per second`, () => {
    const outcomes = Array.from(
      { length: 40 },
      (_, seed) =>
        simulate({ seed, resultOf, hasResponseTimes, ...LITTLE_TRAFFIC }),
    );
    assert.equal(
      outcomes.map((outcome) => ({
        phase: outcome.phase,
        isWithinBound: isWithinBound(outcome),
        lateExposed: outcome.lateExposed,
      })),
      outcomes.map(() => ({
        phase: RolloutPhase.RolledBack,
        isWithinBound: true,
        lateExposed: 0,
      })),
    );
  });
}

// Guards against a good version that is not proven in time: 80 requests per
// second, 8 s.
test("a good version is finished in 8000 ms at 80 requests per second", () => {
  const outcomes = Array.from(
    { length: 40 },
    (_, seed) => simulate({ seed, resultOf: fast, ...LITTLE_TRAFFIC }),
  );
  assert.equal(
    outcomes.map(({ phase, phaseAtMs }) => ({
      phase,
      isInTime: phaseAtMs < LITTLE_TRAFFIC.durationMs,
    })),
    outcomes.map(() => ({ phase: RolloutPhase.Finished, isInTime: true })),
  );
});

// Guards against exposure that grows while daemons cannot hear each other, and
// against two daemons that decide at the same time.
test(`${SCHEDULES} schedules with faults keep all bounds`, () => {
  const names = Object.keys(VERSIONS);
  const broken: unknown[] = [];
  for (let seed = 0; seed < SCHEDULES; seed++) {
    const name = names[seed % names.length]!;
    const faults = drawFaults(seed);
    const outcome = simulate({
      seed,
      durationMs: 15_000,
      requestsPerS: 200,
      resultOf: VERSIONS[name]!,
      faults,
    });
    const holds = isWithinBound(outcome) && outcome.lateExposed === 0 &&
      outcome.afterFinish === 0 && outcome.rivalAdvances === 0;
    if (!holds) broken.push({ seed, name, faults, outcome });
  }
  assert.equal(broken, []);
});

test.run();
