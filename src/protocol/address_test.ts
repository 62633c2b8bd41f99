import { test } from "uvu";
import * as assert from "uvu/assert";
import { isAddress } from "./address.ts";

test("isAddress() accepts only what a connection can be opened to", () => {
  const accepted = [
    "10.0.0.1:7600",
    "[::1]:80",
    "localhost:1",
    "a-1.b.c:65535",
  ];
  const refused = [
    "10.0.0.1",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999",
    "10.0.0.1:80 ",
    "10.0.0.1:http",
    "10.0.0.1:1e3",
    "10.0.0.256:80",
    "::1:80",
    "a b:80",
    "a/b:80",
    ":80",
    "",
  ];
  assert.equal(accepted.map(isAddress), accepted.map(() => true));
  assert.equal(refused.map(isAddress), refused.map(() => false));
});

test.run();
