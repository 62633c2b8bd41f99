import { Buffer } from "node:buffer";
import { create } from "@bufbuild/protobuf";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type ClaimEntry,
  type ClaimRequest,
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

function completion(key: string, requestId: string, released: boolean) {
  return create(CompleteClaimRequestSchema, {
    key: Buffer.from(key),
    requestId,
    released,
    ...(released ? {} : {
      answer: create(StoredAnswerSchema, { status: 200, hasBody: true }),
    }),
  });
}

/** Holders of one partition with a shared log, and a reference model of it. */
class SharedLog {
  readonly #log: ClaimEntry[] = [];
  /** Entries after the last compaction, and the log's length at that time. */
  #compacted = { entries: [] as ClaimEntry[], length: 0 };
  /** The reference model: the owner of each key, derived from the log alone. */
  readonly #owners = new Map<string, string>();
  readonly #holders;

  constructor(count: number) {
    this.#holders = Array.from({ length: count }, () => ({
      partition: new ClaimPartition(WINDOW_MS),
      known: 0,
      batch: [] as ClaimEntry[],
      waiting: [] as ClaimRequest[],
      taken: [] as ClaimRequest[],
    }));
  }

  step(index: number, action: { key: string; id: string; kind: string }): void {
    const { partition } = this.#holders[index]!;
    const holder = this.#holders[index]!;
    const { key, id, kind } = action;
    switch (kind) {
      case "claim": {
        const claim = request(key, id);
        const decision = partition.claim(claim, NOW_MS);
        if (decision.kind === "await-commit") holder.waiting.push(claim);
        return;
      }
      case "complete":
      case "release": {
        // Only the request that holds the claim ends it.
        if (this.#owners.get(key) !== id) return;
        partition.complete(completion(key, id, kind === "release"));
        return;
      }
      case "take":
        if (holder.batch.length > 0) return;
        holder.batch = partition.takeBatch();
        holder.taken.push(...holder.waiting.splice(0));
        return;
      case "commit":
        return this.#commit(index);
      case "compact":
        if (holder.known !== this.#log.length) return;
        this.#compacted = {
          entries: this.#compact(),
          length: this.#log.length,
        };
    }
  }

  settle(index: number): void {
    this.#commit(index);
    this.step(index, { key: "", id: "", kind: "take" });
    this.#commit(index);
  }

  /** Appends the holder's batch after it has read the entries of others. */
  #commit(index: number): void {
    const holder = this.#holders[index]!;
    if (holder.known < this.#log.length) {
      const isCompacted = holder.known < this.#compacted.length;
      const entries = isCompacted
        ? [
          ...this.#compacted.entries,
          ...this.#log.slice(this.#compacted.length),
        ]
        : this.#log.slice(holder.known);
      holder.batch = holder.partition.rebase(entries, holder.batch);
    }
    for (const entry of holder.batch) this.#append(entry);
    holder.batch = [];
    holder.known = this.#log.length;
    for (const claim of holder.taken.splice(0)) this.#checkGrant(holder, claim);
  }

  #append(entry: ClaimEntry): void {
    this.#log.push(entry);
    const key = Buffer.from(entry.key).toString();
    const owner = this.#owners.get(key);
    assert.ok(
      owner === undefined || owner === entry.requestId,
      "the entry conflicts with the log",
    );
    if (entry.released) this.#owners.delete(key);
    else this.#owners.set(key, entry.requestId);
  }

  #checkGrant(
    holder: { readonly partition: ClaimPartition },
    claim: ClaimRequest,
  ): void {
    const { state } = holder.partition.answerAfterCommit(claim);
    if (state !== ClaimState.GRANTED) return;
    const owner = this.#owners.get(Buffer.from(claim.key).toString());
    assert.is(
      owner,
      claim.requestId,
      "granted to a request that is not the owner",
    );
  }

  #compact(): ClaimEntry[] {
    const partition = new ClaimPartition(WINDOW_MS);
    partition.restore(this.#log);
    return partition.entries;
  }
}

test("claim() distinguishes the owner, a resend and different content", () => {
  const partition = new ClaimPartition(WINDOW_MS);
  const states = [
    partition.claim(request("k", "r1"), NOW_MS),
    partition.claim(request("k", "r1"), NOW_MS),
    partition.claim(request("k", "r2"), NOW_MS),
    partition.claim(request("k", "r2", "other"), NOW_MS),
  ].map(({ kind, response }) =>
    `${kind} ${ClaimState[response.state]} ${response.contentDiffers}`
  );
  partition.complete(completion("k", "r1", false));
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

test("claim() refuses a key whose claim may have been removed", () => {
  const partition = new ClaimPartition(WINDOW_MS);
  const late = partition.claim(request("k", "r"), NOW_MS + WINDOW_MS);
  assert.is(late.response.state, ClaimState.REFUSED);
  assert.is(late.response.reason, Reason.KeyExpired);
});

test("restore() yields a partition that grants as before the crash, for any steps", () => {
  const step = fc.record({
    key: fc.constantFrom("a", "b", "c"),
    request: fc.constantFrom("r1", "r2"),
    kind: fc.constantFrom("claim", "complete", "release", "commit", "crash"),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      // The reference model: one owner per key, changed only by durable steps.
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
        if (kind === "complete") partition.complete(completion(key, id, false));
        if (
          kind === "release" && partition.complete(completion(key, id, true))
        ) {
          uncommitted.push(() => owners.delete(key));
        }
        if (kind === "commit") {
          log.push(...partition.takeBatch());
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

test("holders that share a log grant each key to a single owner", () => {
  const step = fc.record({
    holder: fc.nat({ max: 2 }),
    key: fc.constantFrom("a", "b"),
    request: fc.constantFrom("r1", "r2", "r3"),
    kind: fc.constantFrom(
      "claim",
      "complete",
      "release",
      "take",
      "commit",
      "compact",
    ),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const sharedLog = new SharedLog(3);
      for (const { holder, key, request: id, kind } of steps) {
        sharedLog.step(holder, { key, id, kind });
      }
      for (let holder = 0; holder < 3; holder++) sharedLog.settle(holder);
    }),
    { seed: 11, numRuns: 500 },
  );
});

test("checkKey() accepts only keys with a time of issue within the window", () => {
  const digits = "0123456789abcdef0123";
  const results = [
    undefined,
    "order-17",
    uuidV7(NOW_MS, digits),
    uuidV7(NOW_MS - WINDOW_MS, digits),
    uuidV7(NOW_MS + 600_000, digits),
  ].map((key) => checkKey(key, WINDOW_MS, NOW_MS));
  assert.snapshot(
    results.map((one) => one.kind === "refused" ? one.reason : one.kind)
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
