import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseFrameHead } from "./peer_call.ts";
import {
  formatQuotaReply,
  formatQuotaReport,
  parseQuotaReply,
  parseQuotaReport,
  type QuotaReply,
  type QuotaReport,
} from "./quota_message.ts";

const REPORT: QuotaReport = {
  group: "1/4",
  sender: 'i-"7"',
  epoch: "i-3.99.1",
  stampMs: 5_000,
  leaseMs: 1_500,
  releases: false,
  demands: [{
    organisation: "quick fox",
    waiting: 2,
    demandPerS: 7.5,
    grantId: 9,
    held: 3,
    returned: 1,
  }],
};
const REPLY: QuotaReply = {
  kind: "served",
  epoch: "i-3.99.1",
  stampMs: 5_000,
  leaseMs: 1_500,
  isLeased: true,
  grants: [{
    organisation: "quick fox",
    granted: 1,
    advance: 0,
    grantId: 0,
    emptyMs: 40,
    level: 0.5,
  }],
  isMoved: true,
};

test("quota messages are read as they were written", () => {
  assert.equal({
    report: parseQuotaReport(formatQuotaReport(REPORT)),
    reply: parseQuotaReply(formatQuotaReply(REPLY)),
    other: parseQuotaReply(formatQuotaReply({ kind: "not-account" })),
  }, { report: REPORT, reply: REPLY, other: { kind: "not-account" } });
});

// Guards against an earlier daemon that runs such a message as a request.
test("a quota message is no request, and no answer to one", () => {
  assert.equal(
    [formatQuotaReport(REPORT), formatQuotaReply(REPLY)].map(parseFrameHead),
    [undefined, undefined],
  );
});

test("fields that a later version appends are passed over", () => {
  const report = formatQuotaReport(REPORT).replace(/1\]\]\]$/, "1,8]],8]");
  assert.equal(parseQuotaReport(report), REPORT);
});

test("no malformed message makes the parsers throw", () => {
  const heads = fc.oneof(
    fc.string(),
    fc.json().map((text) => `quota1 ${text}`),
    fc.array(fc.jsonValue(), { maxLength: 8 }).map((value) =>
      `quota1 ${JSON.stringify(value)}`
    ),
  );
  fc.assert(fc.property(heads, (head) => {
    parseQuotaReport(head);
    parseQuotaReply(head);
  }));
  assert.equal(
    ["", "quota1 ", "quota1 [1]", 'quota1 ["a",1,2,1,[["b",-1,0,0,0,0]]]']
      .map(parseQuotaReply),
    [undefined, undefined, undefined, undefined],
  );
});

test.run();
