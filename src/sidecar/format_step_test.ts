import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type BackendRecord, BackendState } from "../protocol/mesh.ts";
import { MeshReason, notRunOutcome } from "../protocol/mesh_call.ts";
import { formatOutcome, formatStep } from "./format_step.ts";

const RECORD: BackendRecord = {
  id: "i-1",
  instance: "a",
  service: "stock",
  domain: "a",
  peerAddress: "",
  slots: 4,
  state: BackendState.Ready,
  bornAtUnixMs: 1,
  linkMbps: 0,
};
const CHOICE = {
  record: RECORD,
  waitMs: 12.4,
  queueMs: 12.4,
  serviceMs: 80.2,
  isShort: false,
};

// Guards against a log that cannot tell a wrong cost from a wrong wait.
test("formatStep() names the expected and the actual service time", () => {
  const answer = { status: 200, headers: [], body: Buffer.alloc(0) };
  const answered = { kind: "answered", answer, serviceMs: 104 } as const;
  const refused = notRunOutcome(MeshReason.Overloaded);
  assert.equal([
    formatStep(CHOICE, {
      text: formatOutcome(answered),
      tookMs: 120.3,
      serviceMs: 104,
    }),
    formatStep(CHOICE, { text: formatOutcome(refused), tookMs: 3 }),
  ], ["i-1:answered:200:12:120:80:104", "i-1:not-run:overloaded:12:3:80"]);
});

test.run();
