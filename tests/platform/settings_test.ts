import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { readSettings } from "../../platform/settings.ts";

const REQUIRED = {
  instance: "instance-0",
  domain: "domain-0",
  service: "stock",
  backendAddress: "10.0.0.1:1",
  ingressAddress: "10.0.0.1:2",
  peerAddress: "10.0.0.1:3",
  readyAddress: "10.0.0.1:4",
  controlAddress: "10.0.0.1:5",
  metricsAddress: "10.0.0.1:6",
  storeAddress: "10.0.0.1:7",
};

test("readSettings() reads the optional advertised address", () => {
  const folder = mkdtempSync(join(tmpdir(), "sesamepond-settings-"));
  const advertisedOf = (fields: object) => {
    const file = join(folder, "settings.jsonc");
    writeFileSync(file, JSON.stringify({ ...REQUIRED, ...fields }));
    return readSettings(file).advertisedPeerAddress;
  };
  assert.equal([
    advertisedOf({}),
    advertisedOf({ advertisedPeerAddress: "192.0.2.1:3" }),
  ], [undefined, "192.0.2.1:3"]);
  assert.throws(
    () => advertisedOf({ advertisedPeerAddress: 3 }),
    /"advertisedPeerAddress" is missing or not a text/,
  );
  rmSync(folder, { recursive: true });
});

test("readSettings() reads the instance's memory, unknown where it is empty", () => {
  const folder = mkdtempSync(join(tmpdir(), "sesamepond-settings-"));
  const memoryOf = (fields: object) => {
    const file = join(folder, "settings.jsonc");
    writeFileSync(file, JSON.stringify({ ...REQUIRED, ...fields }));
    return readSettings(file).memoryMb;
  };
  assert.equal([
    memoryOf({}),
    memoryOf({ memoryMb: "" }),
    memoryOf({ memoryMb: "250" }),
  ], [0, 0, 250]);
  assert.throws(
    () => memoryOf({ memoryMb: "much" }),
    /"memoryMb" is not a non-negative number/,
  );
  rmSync(folder, { recursive: true });
});

test.run();
