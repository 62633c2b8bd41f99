import { test } from "uvu";
import * as assert from "uvu/assert";
import { Random } from "../../protocol/random.ts";
import { FailureDetector } from "./failure_detector.ts";

const OPTIONS = { periodMs: 1_000, suspicionMs: 4_000 };

test("step() probes every peer within a round", () => {
  const detector = new FailureDetector(new Random(1), OPTIONS);
  const peers = ["a", "b", "c", "d"];
  const probed = peers.map((_, index) =>
    detector.step({ kind: "tick", peers }, index * 1_000)
  ).flat().map((command) => command.id);
  assert.equal(probed.sort(), peers);
});

test("step() declares a suspect dead unless it is cleared in time", () => {
  const detector = new FailureDetector(new Random(1), OPTIONS);
  detector.step({ kind: "suspected", id: "a" }, 0);
  detector.step({ kind: "suspected", id: "b" }, 0);
  detector.step({ kind: "cleared", id: "b" }, 2_000);
  const commands = [1_000, 2_000, 3_000, 4_000].flatMap((nowMs) =>
    detector.step({ kind: "tick", peers: [] }, nowMs)
  );
  assert.equal(commands, [{ kind: "declare-dead", id: "a" }]);
});

test("step() suspects no member after a pause of its own process", () => {
  const detector = new FailureDetector(new Random(1), OPTIONS);
  detector.step({ kind: "tick", peers: [] }, 0);
  detector.step({ kind: "suspected", id: "a" }, 500);
  // The process is paused for 30 s, then its timers fire.
  assert.equal(detector.step({ kind: "missed", id: "b" }, 30_000), []);
  assert.equal(detector.step({ kind: "tick", peers: [] }, 30_001), []);
  assert.equal(detector.step({ kind: "missed", id: "b" }, 30_002), []);
  assert.equal(detector.step({ kind: "tick", peers: [] }, 31_000), []);
  assert.equal(detector.step({ kind: "tick", peers: [] }, 32_000), []);
  assert.equal(detector.step({ kind: "missed", id: "b" }, 32_500), [
    { kind: "suspect", id: "b" },
  ]);
});

test.run();
