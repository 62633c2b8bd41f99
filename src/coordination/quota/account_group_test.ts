import { test } from "uvu";
import * as assert from "uvu/assert";
import type { QuotaAnswer, QuotaReport } from "../../protocol/quota_message.ts";
import { AccountGroup, AccountLinks, FleetTracker, planQuota } from "./mod.ts";

const LEASE_MS = 1_500;
const PLANS = new Map([[
  "quick-fox",
  planQuota({ limitPerS: 20, burst: 0 }, {
    windowMs: 5_000,
    over: 0.1,
    slack: 20,
  }),
]]);

function openGroup(fleetSize: number, isOutdated = false): AccountGroup {
  const group = new AccountGroup("e1");
  group.update(PLANS, { fleetSize, leaseMs: LEASE_MS, isOutdated }, 1);
  return group;
}

function ask(
  group: AccountGroup,
  sender: string,
  nowMs: number,
  claim: Partial<QuotaReport> = {},
): QuotaAnswer {
  const reply = group.serve({
    group: "0/1",
    sender,
    epoch: "",
    stampMs: 0,
    leaseMs: LEASE_MS,
    releases: false,
    demands: [],
    ...claim,
  }, nowMs);
  if (reply.kind !== "served") throw new TypeError("not served");
  return reply;
}

/** Lets a daemon claim a lease on the basis of a first answer. */
function lease(group: AccountGroup, sender: string, nowMs: number) {
  const { epoch, stampMs } = ask(group, sender, nowMs);
  return ask(group, sender, nowMs, { epoch, stampMs });
}

test("a lease needs an answer that its daemon has received", () => {
  const group = openGroup(2);
  const first = ask(group, "a", 10);
  const wrong = ask(group, "a", 20, { epoch: "e0", stampMs: 10 });
  const right = ask(group, "a", 30, {
    epoch: "e1",
    stampMs: first.stampMs,
  });
  assert.equal([first, wrong, right].map(({ isLeased }) => isLeased), [
    false,
    false,
    true,
  ]);
  assert.is(group.share, 0.5);
});

// Guards against a daemon that counts at its account while it already uses its
// fixed share: messages that are late must not prolong its lease.
test("a lease ends at the account before its daemon uses its fixed share", () => {
  const group = openGroup(2);
  const { stampMs, epoch } = ask(group, "a", 10);
  ask(group, "a", 1_200, { epoch, stampMs });
  const shares = [1_409, 1_460].map((nowMs) => {
    ask(group, "b", nowMs);
    return group.share;
  });
  ask(group, "a", 1_500, { epoch, stampMs });
  assert.equal([...shares, group.share], [0.5, 0, 0]);
});

test("a lease that was given up is not restored by an older message", () => {
  const group = openGroup(2);
  const { stampMs, epoch } = lease(group, "a", 10);
  ask(group, "a", 20, { epoch, stampMs, releases: true });
  const late = ask(group, "a", 30, { epoch, stampMs });
  const next = ask(group, "a", 40, { epoch, stampMs: late.stampMs });
  assert.equal([late.isLeased, next.isLeased], [false, true]);
});

// Guards against two sides of a long partition that both have the whole limit.
test("without a recent view of the store, only a majority has a share", () => {
  const shares = [1, 2, 3].map((leases) => {
    const group = openGroup(4, true);
    for (let index = 0; index < leases; index++) {
      lease(group, `i-${index}`, 10);
    }
    return group.share;
  });
  assert.equal(shares, [0, 0, 0.75]);
});

test("a daemon claims a lease once its former lease has ended", () => {
  const tracker = new FleetTracker("i-9");
  const viewOf = (names: readonly string[], nowMs: number) =>
    tracker.update(
      names.map((instance) => ({ instance, domain: "d", linkMbps: 0 })),
      nowMs,
    );
  const links = new AccountLinks(0);
  links.update(viewOf(["i-1"], 2_000), 2_000);
  const former = links.find("0/1")!;
  const answer: QuotaAnswer = {
    kind: "served",
    epoch: "e",
    stampMs: 7,
    leaseMs: LEASE_MS,
    isLeased: true,
    grants: [],
    isMoved: false,
  };
  former.recordReply(answer, 2_010);
  former.recordClaim();
  links.update(viewOf(["i-2"], 2_100), 2_100);
  const link = links.find("0/1")!;
  link.recordReply(answer, 2_110);
  const before = {
    accounts: [former.account, link.account],
    mayClaim: [3_509, 3_510].map((nowMs) => links.mayClaim(link, nowMs)),
    fixedFromMs: links.fixedFromMs(link),
  };
  links.recordRelease(former);
  assert.equal([before, links.mayClaim(link, 2_120), links.fixedFromMs(link)], [
    {
      accounts: ["i-1", "i-2"],
      mayClaim: [false, true],
      fixedFromMs: 3_510,
    },
    true,
    1_500,
  ]);
});

test.run();
