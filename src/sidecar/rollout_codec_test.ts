import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  RolloutPhase,
  type RolloutRecord,
  type RolloutReport,
} from "../protocol/rollout.ts";
import {
  decodeRolloutRecord,
  decodeRolloutReport,
  encodeRollout,
} from "./rollout_codec.ts";

const RECORD: RolloutRecord = {
  service: "orders",
  sequence: 3,
  phase: RolloutPhase.Running,
  inUse: ["v1"],
  decider: "d0",
  targetVersion: "v2",
  share: 0.3,
  startedAtUnixMs: 1_000,
  endsAtUnixMs: 21_000,
};
const REPORT: RolloutReport = {
  service: "orders",
  targetVersion: "v2",
  instance: "d1",
  epoch: 7,
  sequence: 3,
  openRequests: 2,
  routes: [{
    route: "stock",
    former: { requests: 3, failures: 1, times: [0, 2] },
    target: { requests: 0, failures: 0, times: [] },
  }],
};

test("decisions and reports are decoded as they were encoded", () => {
  assert.equal([
    decodeRolloutRecord(encodeRollout(RECORD)),
    decodeRolloutReport(encodeRollout(REPORT)),
  ], [RECORD, REPORT]);
});

// Guards against a process that ends, or a share that grows, by what another
// writer has left.
test("malformed decisions and reports are not decoded", () => {
  const bytesOf = (value: unknown) => Buffer.from(JSON.stringify(value));
  const records = [
    "[",
    null,
    { ...RECORD, share: 1.5 },
    { ...RECORD, phase: "other" },
    { ...RECORD, inUse: [1] },
    { ...RECORD, sequence: -1 },
  ].map((value) => decodeRolloutRecord(bytesOf(value)));
  const reports = [
    null,
    { ...REPORT, routes: {} },
    { ...REPORT, routes: [null] },
    { ...REPORT, routes: [{ ...REPORT.routes[0], target: { times: [-1] } }] },
    { ...REPORT, openRequests: "0" },
  ].map((value) => decodeRolloutReport(bytesOf(value)));
  assert.equal(
    [...records, ...reports].filter((value) => value !== undefined),
    [],
  );
});

test.run();
