import { test } from "uvu";
import * as assert from "uvu/assert";
import { CONTROL_DECODER } from "../../platform/control_decoder.ts";

const BEAT = "/api/rpc?call=instances.heartbeat&of=i-1";
const FIELDS = {
  Service: "stock",
  Address: "10.0.0.1:80",
  Zone: "a",
  Version: "v1",
  Capacity: 4,
  State: "ready",
  ColdLeftS: 1.5,
  Sequence: 3,
  born: 77,
};

test("decode() decodes announcements, departures and readiness checks", () => {
  const calls = [
    CONTROL_DECODER.decode("GET", "/api/ready", ""),
    CONTROL_DECODER.decode("POST", BEAT, JSON.stringify(FIELDS)),
    CONTROL_DECODER.decode(
      "POST",
      "/api/rpc?call=instances.leave&of=i-1",
      '{"born":77}',
    ),
  ];
  assert.equal(calls, [
    { kind: "ready" },
    {
      kind: "announce",
      announcement: {
        id: "i-1",
        service: "stock",
        address: "10.0.0.1:80",
        slots: 4,
        state: "ready",
        sequence: 3,
        bornAtUnixMs: 77,
        version: "v1",
        coldLeftMs: 1_500,
      },
    },
    { kind: "leave", id: "i-1", bornAtUnixMs: 77 },
  ]);
});

test("decode() rejects an announcement with an invalid field", () => {
  const bodies = [
    "",
    "[",
    "null",
    JSON.stringify({ ...FIELDS, State: "asleep" }),
    JSON.stringify({ ...FIELDS, Capacity: "4" }),
    JSON.stringify({ ...FIELDS, Sequence: undefined }),
    JSON.stringify({ ...FIELDS, born: 1.5 }),
    JSON.stringify({ ...FIELDS, Address: "10.0.0.1:99999" }),
    JSON.stringify({ ...FIELDS, Address: "10.0.0.1" }),
    JSON.stringify({ ...FIELDS, Sequence: 1e300 }),
    "[".repeat(8_000),
  ];
  const kinds = bodies.map((body) =>
    CONTROL_DECODER.decode("POST", BEAT, body).kind
  );
  assert.equal(kinds, bodies.map(() => "unreadable"));
});

test.run();
