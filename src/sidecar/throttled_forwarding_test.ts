import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { MeshReason } from "../protocol/mesh_call.ts";
import { Random } from "../protocol/random.ts";
import type { ForwardResult } from "./forward_types.ts";
import { ThrottledForwarding } from "./throttled_forwarding.ts";

const SERVED: ForwardResult = {
  kind: "answered",
  answer: { status: 200, headers: [], body: Buffer.alloc(0) },
};

function refused(reason: string): ForwardResult {
  return { kind: "refused", reason, retryAfterMs: 200 };
}

/** Forwards requests of which one in ten is served; counts the results. */
async function countResults(
  organisation: string | undefined,
  reason: string,
): Promise<Record<string, number>> {
  const throttle = new ThrottledForwarding(new Random(3));
  const counts: Record<string, number> = {};
  for (let index = 0; index < 300; index++) {
    const result = await throttle.run(
      { service: "stock", organisation },
      () => Promise.resolve(index % 10 === 0 ? SERVED : refused(reason)),
    );
    const key = "reason" in result ? result.reason : result.kind;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}

// Failure: the refusals of one organisation take the processor time of all.
test("ThrottledForwarding refuses requests of an organisation that destinations refuse", async () => {
  const counts = await countResults("a", MeshReason.Overloaded);
  assert.equal(counts, { answered: 11, overloaded: 91, throttled: 198 });
});

// Failure: requests are refused for reasons that have nothing to do with load.
test("ThrottledForwarding forwards all requests without an organisation, and those refused for other reasons", async () => {
  const counts = [
    await countResults(undefined, MeshReason.Overloaded),
    await countResults("a", MeshReason.Leaving),
  ];
  assert.equal(counts, [
    { answered: 30, overloaded: 270 },
    { answered: 30, leaving: 270 },
  ]);
});

test.run();
