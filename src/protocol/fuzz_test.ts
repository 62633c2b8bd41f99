import { Buffer } from "node:buffer";
import { fromBinary } from "@bufbuild/protobuf";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseHead } from "../coordination/config/head_record.ts";
import { checkDocuments } from "../coordination/config/check_documents.ts";
import { parseAnnouncement } from "../daemon/announcement.ts";
import { PeerAuth } from "../transport/control/peer_auth.ts";
import { endToEndHeaders } from "../transport/http/header_filter.ts";
import { formatFields } from "../transport/observe/event_log.ts";
import { ExchangeRequestSchema } from "./gen/sesamepond/v1/fleet_pb.ts";
import { Outcome, Reason } from "./outcome.ts";
import {
  formatPeerAnswer,
  formatPeerCall,
  parsePeerAnswer,
  parsePeerCall,
} from "./peer_headers.ts";
import { RANKS } from "./rank.ts";
import { parseSettings } from "./settings_schema.ts";
import { SourceDocument } from "./source_document.ts";
import { StepError } from "./step_error.ts";

const RUNS = { seed: 8, numRuns: 300 };
const TEXT = fc.oneof(
  fc.string(),
  fc.json(),
  fc.string().map((text) => `{"services": {"${text}": ${text}}}`),
);

/** Runs a parser that may throw nothing but a `StepError`. */
function expectCleanFailure(run: () => unknown): void {
  try {
    run();
  } catch (error) {
    assert.instance(error, StepError);
  }
}

test("malformed configuration files yield problems with positions", () => {
  fc.assert(
    fc.property(TEXT, TEXT, (base, overlay) => {
      const problems = checkDocuments({
        base: SourceDocument.parse("base.jsonc", base),
        overlays: { east: SourceDocument.parse("east.jsonc", overlay) },
      });
      assert.ok(problems.length > 0);
      assert.ok(problems.every(({ line, column }) => line > 0 && column > 0));
    }),
    RUNS,
  );
});

test("malformed settings, head records and announcements fail cleanly", () => {
  fc.assert(
    fc.property(TEXT, (text) => {
      expectCleanFailure(() =>
        parseSettings(SourceDocument.parse("s.jsonc", text))
      );
      expectCleanFailure(() => parseHead(text));
      const announced = parseAnnouncement(text, {
        remoteAddress: "127.0.0.1",
        localAddress: "10.0.0.1",
      });
      assert.ok(announced.isErr());
    }),
    RUNS,
  );
});

test("an announcement is accepted from its own instance only", () => {
  const body = { service: "lookup", port: 80, slots: 4, maxConnections: 10 };
  const announce = (remoteAddress: string, host?: string) =>
    parseAnnouncement(JSON.stringify({ ...body, host }), {
      remoteAddress,
      localAddress: "10.0.0.1",
    }).match(
      (announcement) => `accepted: ${announcement.host}`,
      (error) => error.message,
    );
  assert.snapshot(
    [
      announce("::ffff:127.0.0.1"),
      announce("::1", "10.0.0.1"),
      announce("10.0.0.1"),
      announce("10.0.0.2"),
      announce("127.0.0.1", "10.0.0.2"),
    ].join("\n"),
    `accepted: 127.0.0.1
accepted: 10.0.0.1
accepted: 10.0.0.1
Cannot take the announcement: 10.0.0.2 is another instance
Cannot take the announcement: host: 10.0.0.2 is another instance`,
  );
});

test("arbitrary control messages decode or throw an error", () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      try {
        fromBinary(ExchangeRequestSchema, bytes);
      } catch (error) {
        assert.instance(error, Error);
      }
    }),
    RUNS,
  );
});

test("peer headers are parsed completely or not at all", () => {
  fc.assert(
    fc.property(fc.string(), (text) => {
      const call = parsePeerCall(text);
      if (call !== undefined) assert.ok(call.timeoutMs > 0);
      const answer = parsePeerAnswer(text);
      if (answer !== undefined) assert.ok(answer.limit >= 0);
    }),
    RUNS,
  );
});

test("peer headers round-trip", () => {
  const word = fc.stringMatching(/^[a-z0-9./-]{1,20}$/);
  const count = fc.integer({ min: 0, max: 9_999 });
  const call = fc.record({
    id: word,
    service: word,
    rank: fc.constantFrom(...RANKS),
    caller: word,
    timeoutMs: fc.integer({ min: 1, max: 3_600_000 }),
    depth: count,
    retriesLeft: count,
    isRedirectable: fc.boolean(),
    contentDigest: word,
    fingerprint: fc.stringMatching(/^[ -~]{0,40}$/),
  });
  const answer = fc.record({
    id: word,
    outcome: fc.constantFrom(...Object.values(Outcome)),
    reason: fc.option(fc.constantFrom(...Object.values(Reason)), {
      nil: undefined,
    }),
    isRetryable: fc.boolean(),
    running: count,
    queued: count,
    limit: count,
  });
  fc.assert(
    fc.property(call, answer, (sentCall, sentAnswer) => {
      const gotCall = parsePeerCall(formatPeerCall(sentCall));
      const gotAnswer = parsePeerAnswer(formatPeerAnswer(sentAnswer));
      assert.equal(gotCall, { ...sentCall });
      assert.equal(gotAnswer, { ...sentAnswer });
    }),
    RUNS,
  );
});

test("foreign tokens are rejected, and keys rotate without a gap", () => {
  const old = { id: "k1", secret: "0123456789abcdef" };
  const next = { id: "k2", secret: "fedcba9876543210" };
  const steps = [[old], [old, next], [next, old], [next]];
  for (let step = 1; step < steps.length; step++) {
    const before = new PeerAuth(steps[step - 1]!);
    const after = new PeerAuth(steps[step]!);
    assert.is(after.verify(before.token("a", 0), 0), "a");
    assert.is(before.verify(after.token("a", 0), 0), "a");
  }
  const auth = new PeerAuth([old]);
  assert.is(auth.verify(auth.token("a", 0), 3_600_000), undefined);
  fc.assert(
    fc.property(fc.string(), (text) => {
      assert.is(auth.verify(text, 0), undefined);
      assert.is(auth.verify(`k1.0.${text}`, 0), undefined);
    }),
    RUNS,
  );
});

test("system and hop-by-hop headers are removed from arbitrary headers", () => {
  fc.assert(
    fc.property(fc.array(fc.string(), { maxLength: 10 }), (names) => {
      const raw = [...names, "X-Sesamepond-Call", "Connection"]
        .flatMap((name) => [name, "v"]);
      const kept = endToEndHeaders(raw).filter((_, index) => index % 2 === 0);
      assert.not(kept.includes("X-Sesamepond-Call"));
      assert.not(kept.includes("Connection"));
    }),
    RUNS,
  );
});

test("a log field stays on one line whatever its value", () => {
  fc.assert(
    fc.property(fc.string(), (value) => {
      const line = formatFields({ value });
      assert.not.match(line, /[\n\r]/);
      assert.is(Buffer.byteLength(line) > 0, true);
    }),
    RUNS,
  );
});

test.run();
