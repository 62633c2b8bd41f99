import { test } from "uvu";
import * as assert from "uvu/assert";
import { TextMetrics } from "../transport/observe/text_metrics.ts";
import { TransferPermitQueue } from "./transfer_permit_queue.ts";

/** Time after which an unreleased permit expires, and some more, in ms. */
const EXPIRED_MS = 1_010;

/** Blocks the process, so that no timer of the queue can run meanwhile. */
function block(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

// Failure: a request that arrived after a permit had expired, and before the
// check for such permits, granted it to one that waited; its sender was never
// told.
test("request() admits a waiting request whose permit has become free", () => {
  const permits = new TransferPermitQueue(new TextMetrics());
  const admitted: string[] = [];
  const request = (id: string) =>
    permits.request({ id, maxWaitMs: 60_000 }, {
      admit: () => admitted.push(id),
      refuse: () => {},
    });
  for (const id of ["crashed-1", "crashed-2", "waiting"]) request(id);
  block(EXPIRED_MS);
  request("new");
  for (const id of ["waiting", "new"]) permits.release(id);
  assert.equal(admitted, ["crashed-1", "crashed-2", "waiting", "new"]);
});

test.run();
