import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { describeRequest, fingerprintOf } from "./fingerprint.ts";

const REQUEST = {
  method: "GET",
  path: "/stock/1?size=2",
  headers: ["Host", "shop.example", "x-attempt-id", "a"],
  body: undefined,
};

test("fingerprintOf() depends on method, host, path and body only", () => {
  const requests = [
    REQUEST,
    { ...REQUEST, headers: ["x-attempt-id", "b", "host", "shop.example"] },
    { ...REQUEST, method: "POST" },
    { ...REQUEST, headers: ["host", "other.example"] },
    { ...REQUEST, path: "/stock/1?size=3" },
    { ...REQUEST, body: Buffer.from("a") },
    { ...REQUEST, body: Buffer.from("b") },
  ];
  const fingerprints = requests.map(fingerprintOf);
  assert.is(fingerprints[0], fingerprints[1]);
  assert.is(new Set(fingerprints).size, requests.length - 1);
});

test("describeRequest() names method, host and path, cut to a line", () => {
  assert.is(describeRequest(REQUEST), "GET shop.example/stock/1?size=2");
  const long = { ...REQUEST, path: `/${"a".repeat(300)}` };
  assert.is(describeRequest(long).length, 200);
});

test.run();
