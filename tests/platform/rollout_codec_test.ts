import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ROLLOUT_WIRE } from "../../platform/rollout_codec.ts";
import { RolloutPhase } from "../../src/protocol/rollout.ts";

const ORDER = { Service: "stock", TargetVersion: "v2", DurationS: 2.5 };

test("decodeOrder() decodes orders, and none that is malformed", () => {
  const decode = (value: unknown) =>
    ROLLOUT_WIRE.decodeOrder(Buffer.from(JSON.stringify(value)));
  assert.equal([
    decode(ORDER),
    decode(null),
    decode({ ...ORDER, DurationS: 0 }),
    decode({ ...ORDER, DurationS: "9" }),
    decode({ ...ORDER, TargetVersion: "" }),
    decode({ ...ORDER, Service: 1 }),
    ROLLOUT_WIRE.decodeOrder(Buffer.from("{")),
  ], [
    { service: "stock", targetVersion: "v2", durationMs: 2_500 },
    undefined,
    undefined,
    undefined,
    undefined,
    undefined,
    undefined,
  ]);
});

test("encodeStatus() tells the operator the three known states", () => {
  const states = Object.values(RolloutPhase).map((phase) => {
    const status = { service: "stock", targetVersion: "v2", phase };
    const text = Buffer.from(ROLLOUT_WIRE.encodeStatus(status)).toString();
    return `${phase}: ${JSON.parse(text).State}`;
  });
  assert.equal([ROLLOUT_WIRE.statusKeyOf("stock"), ...states], [
    "status/rollout/stock",
    "idle: running",
    "running: running",
    "draining: running",
    "finished: finished",
    "rolled_back: rolled_back",
  ]);
});

test.run();
