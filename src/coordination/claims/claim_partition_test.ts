import { Buffer } from "node:buffer";
import { create } from "@bufbuild/protobuf";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type ClaimEntry,
  ClaimRequestSchema,
  ClaimState,
  CompleteClaimRequestSchema,
  StoredAnswerSchema,
} from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { Reason } from "../../protocol/outcome.ts";
import { ClaimPartition } from "./claim_partition.ts";
import { checkKey, issueTimeMs, uuidV7 } from "./idempotency_key.ts";

const WINDOW_MS = 900_000;
const NOW_MS = 1_000_000_000_000;

function request(key: string, requestId: string, content = "c") {
  return create(ClaimRequestSchema, {
    key: Buffer.from(key),
    requestId,
    content: Buffer.from(content),
    issuedAtMs: NOW_MS,
  });
}

function end(key: string, requestId: string, released: boolean) {
  return create(CompleteClaimRequestSchema, {
    key: Buffer.from(key),
    requestId,
    released,
    ...(released ? {} : {
      answer: create(StoredAnswerSchema, { status: 200, hasBody: true }),
    }),
  });
}

test("claim() tells the owner, a resend and other content apart", () => {
  const partition = new ClaimPartition(WINDOW_MS);
  const states = [
    partition.claim(request("k", "r1"), NOW_MS),
    partition.claim(request("k", "r1"), NOW_MS),
    partition.claim(request("k", "r2"), NOW_MS),
    partition.claim(request("k", "r2", "other"), NOW_MS),
  ].map(({ kind, response }) =>
    `${kind} ${ClaimState[response.state]} ${response.contentDiffers}`
  );
  partition.complete(end("k", "r1", false));
  const resent = partition.claim(request("k", "r3"), NOW_MS).response;
  assert.snapshot(
    [...states, ClaimState[resent.state], resent.answer?.status].join("\n"),
    `await-commit GRANTED false
await-commit GRANTED false
answer HELD false
answer HELD true
DONE
200`,
  );
});

test("claim() refuses a key whose claim may be forgotten", () => {
  const partition = new ClaimPartition(WINDOW_MS);
  const late = partition.claim(request("k", "r"), NOW_MS + WINDOW_MS);
  assert.is(late.response.state, ClaimState.REFUSED);
  assert.is(late.response.reason, Reason.KeyExpired);
});

test("a holder that takes over from the log answers as the one before, for any steps", () => {
  const step = fc.record({
    key: fc.constantFrom("a", "b", "c"),
    request: fc.constantFrom("r1", "r2"),
    kind: fc.constantFrom("claim", "complete", "release", "commit", "crash"),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      // The naive twin: one owner for each key, changed only by durable steps.
      const owners = new Map<string, string>();
      const log: ClaimEntry[] = [];
      let partition = new ClaimPartition(WINDOW_MS);
      let uncommitted: (() => void)[] = [];
      for (const { key, request: id, kind } of steps) {
        if (kind === "claim") {
          const { response } = partition.claim(request(key, id), NOW_MS);
          if (response.state !== ClaimState.GRANTED) continue;
          uncommitted.push(() => {
            const owner = owners.get(key);
            assert.ok(owner === undefined || owner === id, "granted twice");
            owners.set(key, id);
          });
        }
        if (kind === "complete") partition.complete(end(key, id, false));
        if (kind === "release" && partition.complete(end(key, id, true))) {
          uncommitted.push(() => owners.delete(key));
        }
        if (kind === "commit") {
          log.push(...partition.takeBatch(1, 1).entries);
          for (const apply of uncommitted) apply();
          uncommitted = [];
        }
        if (kind === "crash") {
          partition = new ClaimPartition(WINDOW_MS);
          partition.restore(log);
          uncommitted = [];
        }
      }
    }),
    { seed: 7, numRuns: 500 },
  );
});

test("checkKey() takes only keys that carry a time within the window", () => {
  const digits = "0123456789abcdef0123";
  const verdicts = [
    undefined,
    "order-17",
    uuidV7(NOW_MS, digits),
    uuidV7(NOW_MS - WINDOW_MS, digits),
    uuidV7(NOW_MS + 600_000, digits),
  ].map((key) => checkKey(key, WINDOW_MS, NOW_MS));
  assert.snapshot(
    verdicts.map((one) => one.kind === "refused" ? one.reason : one.kind)
      .join("\n"),
    `idempotency-key-required
idempotency-key-required
usable
idempotency-key-expired
idempotency-key-required`,
  );
  assert.is(issueTimeMs(uuidV7(NOW_MS, digits)), NOW_MS);
});

test.run();
