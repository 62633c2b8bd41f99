import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { EventLoopMonitor } from "./event_loop_monitor.ts";

/** Blocks the event loop. */
function blockEventLoop(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

// Guards against treating requests as new right after a stall, before the
// monitor's next check of the clock.
test("hasStalled is true immediately after a stall", async () => {
  const log = new EventLog({ sink: { write: () => {}, close: () => {} } });
  const delaysMs: number[] = [];
  const monitor = new EventLoopMonitor({
    log,
    onStall: (delayMs) => delaysMs.push(delayMs),
  });
  monitor.start();
  const before = monitor.hasStalled;
  blockEventLoop(600);
  const after = monitor.hasStalled;
  await sleep(0);
  const isReported = delaysMs.length === 1 && delaysMs[0]! >= 300;
  monitor.stop();
  log.close();
  assert.equal({ before, after, isReported }, {
    before: false,
    after: true,
    isReported: true,
  });
});

test("delayP99Ms reports how late the checks of the clock were", async () => {
  const log = new EventLog({ sink: { write: () => {}, close: () => {} } });
  const monitor = new EventLoopMonitor({ log });
  monitor.start();
  const before = monitor.delayP99Ms;
  blockEventLoop(600);
  await sleep(0);
  const after = monitor.delayP99Ms;
  monitor.stop();
  log.close();
  assert.equal({ before, isLate: after >= 300 }, { before: 0, isLate: true });
});

test.run();
