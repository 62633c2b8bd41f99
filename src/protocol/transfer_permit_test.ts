import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  formatTransferHeaders,
  HEADER_TRANSFER,
  parseTransfer,
} from "./transfer_permit.ts";

const CALL = { body: Buffer.alloc(60_000), priority: 1 };

test("a transfer message is the same after a round trip", () => {
  const named = { organisation: "a;b c", organisationPriority: 2 };
  const sent = [{ ...CALL, ...named }, { ...CALL, isSubcall: true }];
  const received = sent.map((call) => {
    const [name, value] = formatTransferHeaders(call);
    return [name, parseTransfer(value)];
  });
  assert.equal(received, [
    [HEADER_TRANSFER, { bytes: 60_000, priority: 1, ...named }],
    [HEADER_TRANSFER, { bytes: 60_000, priority: 1, isSubcall: true }],
  ]);
});

// Failure: a deployment without organisations sends other messages than before.
test("formatTransferHeaders() says nothing without organisations", () => {
  assert.equal(formatTransferHeaders(CALL), []);
});

// Failure: messages of an earlier or a later version are not understood.
test("parseTransfer() reads the fields that it knows", () => {
  const values = [
    undefined,
    "",
    "60000",
    "60000;1;a;2;s;new",
    "-5;x;%;Infinity;?",
    "0;;;;",
    // The order adds sizes up, so that one of this size would end it.
    "1e308",
  ];
  assert.equal(values.map(parseTransfer), [
    {},
    {},
    { bytes: 60_000 },
    {
      bytes: 60_000,
      priority: 1,
      organisation: "a",
      organisationPriority: 2,
      isSubcall: true,
    },
    {},
    {},
    {},
  ]);
});

test.run();
