import { test } from "uvu";
import * as assert from "uvu/assert";
import { Random } from "../../protocol/random.ts";
import { OrganisationThrottle } from "./organisation_throttle.ts";

const LARGE = { service: "stock", organisation: "large" };
const SMALL = { service: "stock", organisation: "small" };
const DURATION_S = 20;
/** Requests that the destinations hold for a moment. */
const QUEUED = 3;

interface Load {
  /** Requests of the large organisation in a second. */
  readonly largePerS: number;
  /** Requests of it that its destinations accept in a second at most. */
  readonly capacityPerS: number;
  readonly smallPerS: number;
  /** Share of the small organisation's requests that are accepted. */
  readonly smallShare: number;
}

/** Returns how many requests of each were sent and accepted in a second. */
function run(
  load: Load,
  throttle: Pick<OrganisationThrottle, "admits" | "record"> =
    new OrganisationThrottle(),
  startMs = 0,
) {
  const random = new Random(5);
  const counts = { sent: 0, accepted: 0, smallSent: 0 };
  let available = 0;
  const perS = load.largePerS + load.smallPerS;
  for (let index = 0; index < perS * DURATION_S; index++) {
    const nowMs = startMs + index * 1_000 / perS;
    available = Math.min(QUEUED, available + load.capacityPerS / perS);
    const isLarge = random.fraction() < load.largePerS / perS;
    const request = isLarge ? LARGE : SMALL;
    if (!throttle.admits(request, random.fraction(), nowMs)) continue;
    if (!isLarge) {
      counts.smallSent++;
      throttle.record(request, random.fraction() < load.smallShare, nowMs);
      continue;
    }
    counts.sent++;
    const isAccepted = available >= 1;
    if (isAccepted) {
      available--;
      counts.accepted++;
    }
    throttle.record(request, isAccepted, nowMs);
  }
  return {
    sentPerS: Math.round(counts.sent / DURATION_S),
    acceptedPerS: Math.round(counts.accepted / DURATION_S),
    smallSentPerS: Math.round(counts.smallSent / DURATION_S),
  };
}

// Failure: at 8.5 times its usual traffic, most requests of an organisation are
// sent to be refused.
test("admits() sends about three requests for each one that is accepted", () => {
  const none = { admits: () => true, record: () => {} };
  const results = [20, 60].map((capacityPerS) => {
    const load = {
      largePerS: 80,
      capacityPerS,
      smallPerS: 20,
      smallShare: 0.9,
    };
    return { unthrottled: run(load, none), throttled: run(load) };
  });
  assert.equal(results, [{
    unthrottled: { sentPerS: 80, acceptedPerS: 20, smallSentPerS: 20 },
    throttled: { sentPerS: 60, acceptedPerS: 20, smallSentPerS: 20 },
  }, {
    unthrottled: { sentPerS: 80, acceptedPerS: 60, smallSentPerS: 20 },
    throttled: { sentPerS: 80, acceptedPerS: 60, smallSentPerS: 20 },
  }]);
});

// Failure: an organisation is served less than a quarter as often as all, as
// its requests are not even sent.
test("admits() sends all requests of an organisation that is accepted far less than others", () => {
  const load = { largePerS: 80, capacityPerS: 4, smallPerS: 40, smallShare: 1 };
  assert.equal(run(load), {
    sentPerS: 79,
    acceptedPerS: 4,
    smallSentPerS: 41,
  });
});

// Failure: a small organisation is refused for few refusals in a row.
test("admits() sends all requests of an organisation with few requests", () => {
  const load = { largePerS: 0, capacityPerS: 0, smallPerS: 2, smallShare: 0 };
  assert.equal(run(load), { sentPerS: 0, acceptedPerS: 0, smallSentPerS: 2 });
});

// Failure: an organisation stays throttled after its surge.
test("admits() sends all requests again after a surge", () => {
  const throttle = new OrganisationThrottle();
  const surge = { smallPerS: 20, smallShare: 0.9, capacityPerS: 20 };
  run({ ...surge, largePerS: 80 }, throttle);
  assert.equal(
    run({ ...surge, largePerS: 10 }, throttle, DURATION_S * 1_000),
    { sentPerS: 11, acceptedPerS: 11, smallSentPerS: 19 },
  );
});

test.run();
