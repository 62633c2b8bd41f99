import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { EventLoopMonitor } from "./event_loop_monitor.ts";

/** Keeps the event loop from turning. */
function standStill(lastsMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, lastsMs);
}

// Guards against requests that are taken for new right after the process stood
// still, before the watch itself has looked at the clock again.
test("isHeldUp is true from the first moment after the process stood still", async () => {
  const log = new EventLog({ sink: { write: () => {}, close: () => {} } });
  const delaysMs: number[] = [];
  const watch = new EventLoopMonitor({
    log,
    onStall: (delayMs) => delaysMs.push(delayMs),
  });
  watch.start();
  const before = watch.hasStalled;
  standStill(600);
  const after = watch.hasStalled;
  await sleep(0);
  const isNoted = delaysMs.length === 1 && delaysMs[0]! >= 300;
  watch.stop();
  log.close();
  assert.equal({ before, after, isNoted }, {
    before: false,
    after: true,
    isNoted: true,
  });
});

test("delayP99Ms tells how late the process was when it looked at the clock", async () => {
  const log = new EventLog({ sink: { write: () => {}, close: () => {} } });
  const watch = new EventLoopMonitor({ log });
  watch.start();
  const before = watch.delayP99Ms;
  standStill(600);
  await sleep(0);
  const after = watch.delayP99Ms;
  watch.stop();
  log.close();
  assert.equal({ before, isNoted: after >= 300 }, { before: 0, isNoted: true });
});

test.run();
