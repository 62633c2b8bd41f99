import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { TokenDemand } from "../../protocol/quota_message.ts";
import {
  maxInWindow,
  planQuota,
  QuotaAccount,
  type QuotaBounds,
} from "./mod.ts";

const BOUNDS: QuotaBounds = { windowMs: 5_000, over: 0.1, slack: 20 };
const NO_DEMAND: TokenDemand = {
  organisation: "quick-fox",
  waiting: 0,
  demandPerS: 0,
  grantId: 0,
  held: 0,
  returned: 0,
};

function openAccount(limitPerS: number, burst: number): QuotaAccount {
  const plan = planQuota({ limitPerS, burst }, BOUNDS);
  const account = new QuotaAccount(plan, 0);
  account.configure(plan, { share: 1, daemons: 4 }, 0);
  return account;
}

const waitFor = (waiting: number): TokenDemand => ({ ...NO_DEMAND, waiting });

test("an account starts empty and fills at its rate, up to its size", () => {
  const account = openAccount(10, 5);
  const levels = [0, 100, 1_000, 60_000].map((nowMs) =>
    account.serve("a", NO_DEMAND, nowMs).level
  );
  assert.equal(levels, [0, 1, 10, 17.75]);
});

test("an account spaces out the daemons that it has no token for", () => {
  const account = openAccount(10, 0);
  // The account is full with 13.5 tokens.
  const drained = account.serve("z", waitFor(50), 1_500);
  const waits = [drained.emptyMs].concat(
    ["a", "b"].map((daemon) =>
      account.serve(daemon, waitFor(1), 1_500).emptyMs
    ),
  );
  const later = account.serve("a", waitFor(1), 1_600);
  assert.equal({ waits, granted: later.granted, emptyMs: later.emptyMs }, {
    waits: [50, 150, 250],
    granted: 1,
    emptyMs: 0,
  });
});

test("an account grants tokens in advance to a daemon that will use them", () => {
  const account = openAccount(200, 0);
  account.serve("a", NO_DEMAND, 0);
  const busy = account.serve("a", { ...waitFor(1), demandPerS: 9 }, 1_100);
  const idle = account.serve("b", { ...waitFor(1), demandPerS: 1 }, 1_100);
  assert.equal([busy, idle].map(({ granted, advance }) => [granted, advance]), [
    [1, 4],
    [1, 0],
  ]);
});

test("an account takes back unused tokens, but not expired ones", () => {
  const account = openAccount(200, 0);
  const first = { ...waitFor(1), demandPerS: 9 };
  const { grantId } = account.serve("a", first, 1_100);
  const back = { ...NO_DEMAND, grantId, held: 0, returned: 3 };
  account.serve("a", back, 1_100);
  const afterReturn = [account.level, account.outstanding];
  const late = account.serve("a", first, 1_100).grantId;
  account.serve("a", { ...back, grantId: late, returned: 4 }, 2_200);
  assert.equal({
    afterReturn,
    afterExpiry: [account.level, account.outstanding],
  }, { afterReturn: [59, 0], afterExpiry: [61, 0] });
});

/** One message of a daemon to the account. */
const messageArbitrary = fc.record({
  daemon: fc.integer({ min: 0, max: 3 }),
  afterMs: fc.integer({ min: 0, max: 700 }),
  waiting: fc.integer({ min: 0, max: 30 }),
  demandPerS: fc.integer({ min: 0, max: 100 }),
  /** Tokens that it uses before it sends. */
  uses: fc.integer({ min: 0, max: 20 }),
  returns: fc.boolean(),
  isAnswerLost: fc.boolean(),
});
const limitArbitrary = fc.record({
  limitPerS: fc.integer({ min: 1, max: 100 }),
  burst: fc.integer({ min: 0, max: 50 }),
});

interface Holding {
  grantId: number;
  batches: { count: number; readonly untilMs: number }[];
}

/** Uses up to a number of unexpired tokens, and returns how many. */
function takeTokens(holding: Holding, count: number, nowMs: number): number {
  let taken = 0;
  for (const batch of holding.batches) {
    if (batch.untilMs <= nowMs) continue;
    const part = Math.min(batch.count, count - taken);
    batch.count -= part;
    taken += part;
  }
  return taken;
}

// Guards against an account whose daemons hold more than it counts.
test("level and outstanding tokens never exceed the size, nor windows the bound", () => {
  fc.assert(
    fc.property(
      limitArbitrary,
      fc.array(messageArbitrary, { maxLength: 120 }),
      (limit, messages) => {
        const account = openAccount(limit.limitPerS, limit.burst);
        const holdings = Array.from(
          { length: 4 },
          (): Holding => ({ grantId: 0, batches: [] }),
        );
        const runs: { readonly atMs: number; readonly count: number }[] = [];
        let nowMs = 0;
        for (const message of messages) {
          nowMs += message.afterMs;
          const holding = holdings[message.daemon]!;
          const used = takeTokens(holding, message.uses, nowMs);
          const returned = message.returns
            ? takeTokens(holding, Infinity, nowMs)
            : 0;
          const held = holding.batches.reduce(
            (sum, { count, untilMs }) => sum + (untilMs > nowMs ? count : 0),
            0,
          );
          const grant = account.serve(String(message.daemon), {
            ...waitFor(message.waiting),
            demandPerS: message.demandPerS,
            grantId: holding.grantId,
            held,
            returned,
          }, nowMs);
          runs.push({ atMs: nowMs, count: used });
          if (!message.isAnswerLost) {
            runs.push({ atMs: nowMs, count: grant.granted });
            if (grant.advance > 0) {
              holding.grantId = grant.grantId;
              holding.batches.push({
                count: grant.advance,
                untilMs: nowMs + 1_000,
              });
            }
          }
          const truth = holdings.flatMap(({ batches }) => batches)
            .reduce(
              (sum, batch) => sum + (batch.untilMs > nowMs ? batch.count : 0),
              0,
            );
          assert.ok(truth <= account.outstanding, "counted as outstanding");
          assert.ok(account.level >= -1e-6, "no debt");
          assert.ok(
            account.level + account.outstanding <= account.size + 1e-6,
            "bounded",
          );
        }
        for (const { atMs } of runs) {
          const inWindow = runs.filter((run) =>
            run.atMs >= atMs && run.atMs < atMs + BOUNDS.windowMs
          ).reduce((sum, { count }) => sum + count, 0);
          assert.ok(inWindow <= maxInWindow(limit, BOUNDS), "window bound");
        }
      },
    ),
    { seed: 1, numRuns: 2_000 },
  );
});

test.run();
