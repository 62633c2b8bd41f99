import { test } from "uvu";
import * as assert from "uvu/assert";
import { describeRequest } from "./explain_log.ts";
import { parseLog } from "./log_lines.ts";
import { countResults } from "./logs.ts";

const LOG = `
time=T1 level=warn event=backend-send-failed instance=b id=r1 peer=10.0.0.1:80 sent=true reason="other side closed"
not an event line
time=T2 level=info event=request-ended instance=a id=r1 route=orders result=failed reason=broken tookMs=40 configVersion=6 steps=i-1:not-run:overloaded:250:3,i-2:unknown:broken:0:36
time=T3 level=info event=request-ended instance=a id=r2 route=stock result=refused reason=overloaded retryAfterMs=64 tookMs=2 configVersion=6 steps=i-3:hopeless:overloaded:900:0
time=T4 level=info event=request-ended instance=a id=r3 route=stock result=refused reason=overloaded retryAfterMs=80 tookMs=2 configVersion=6 steps=
`;

test("describeRequest() describes the decisions of both daemons in order", () => {
  assert.equal(describeRequest("r1", parseLog(LOG)), [
    "T1 b: the connection to 10.0.0.1:80 failed, after the request was sent: other side closed",
    "T2 a: i-1 did not run it: overloaded (expected wait 250 ms, took 3 ms)",
    "T2 a: i-2 may have run it: broken (expected wait 0 ms, took 36 ms)",
    "T2 a: failed broken after 40 ms; route orders of version 6",
  ]);
});

test("describeRequest() describes a refusal without a destination", () => {
  const lines = parseLog(LOG);
  assert.equal([describeRequest("r2", lines), describeRequest("none", lines)], [
    [
      "T3 a: i-3 was not called: its reported wait is too long (expected wait 900 ms, took 0 ms)",
      "T3 a: refused overloaded after 2 ms, retry after 64 ms; route stock of version 6",
    ],
    [],
  ]);
});

// Pattern: a line without the costs, by an earlier version, is still read.
test("describeRequest() names the expected and the actual service time", () => {
  const log =
    "time=T5 level=info event=request-ended instance=a id=r4 route=stock result=answered status=200 tookMs=130 configVersion=6 steps=i-4:not-run:overloaded:20:3:80,i-5:answered:200:10:120:80:104";
  assert.equal(describeRequest("r4", parseLog(log)).slice(0, 2), [
    "T5 a: i-4 did not run it: overloaded (expected wait 20 ms, took 3 ms, expected service 80 ms)",
    "T5 a: i-5 answered 200 (expected wait 10 ms, took 120 ms, expected service 80 ms and was 104 ms)",
  ]);
});

test("countResults() counts by route, result, reason and instance", () => {
  assert.equal(countResults(parseLog(LOG)), [
    {
      route: "stock",
      result: "refused",
      reason: "overloaded",
      instance: "a",
      count: 2,
    },
    {
      route: "orders",
      result: "failed",
      reason: "broken",
      instance: "a",
      count: 1,
    },
  ]);
});

test.run();
