import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import * as assert from "uvu/assert";
import {
  CONFIG_KEY,
  sampleConfig,
  sampleRoute,
} from "../../platform/fakes/mesh.ts";
import { until } from "../../testkit/until.ts";
import { isServed, testDaemons } from "./daemon_processes.ts";
import { test } from "uvu";

const RECORD_PREFIX = "sesamepond/backends/";
const REQUESTS = 40;
/** Depth of a nested value, which overflows the stack of a recursive reader. */
const DEPTH = 50_000;

/** Time within which a version must be applied, in ms. */
const APPLY_MS = 2_000;

function isAlive(pid: number): boolean {
  try {
    return process.kill(pid, 0);
  } catch {
    // There is no such process.
    return false;
  }
}

/** A record of a backend server that could be used, but for some fields. */
function formatRecord(name: string, fields: string): string {
  return `{"id":"i-${name}","instance":"${name}","service":"stock",` +
    `"domain":"domain-0","peerAddress":"127.0.0.1:9","slots":1000,` +
    `"state":"ready","bornAtUnixMs":1000,"linkMbps":1000,${fields}}`;
}

/** Entries of another writer, by the last part of their keys. */
const ODD_ENTRIES: Readonly<Record<string, string>> = {
  nested: formatRecord(
    "nested",
    `"x":${"[".repeat(DEPTH)}${"]".repeat(DEPTH)}`,
  ),
  "nested-address": formatRecord(
    "nested-address",
    `"peerAddress":${"[".repeat(DEPTH)}${"]".repeat(DEPTH)}`,
  ),
  "port-large": formatRecord("port-large", `"peerAddress":"127.0.0.1:99999"`),
  "port-word": formatRecord("port-word", `"peerAddress":"127.0.0.1:http"`),
  "port-none": formatRecord("port-none", `"peerAddress":"127.0.0.1"`),
  host: formatRecord("host", `"peerAddress":"127.0.0.1:80/a b\\r\\nx: y"`),
  "slots-large": formatRecord("slots-large", `"slots":1e400`),
  "slots-broken": formatRecord("slots-broken", `"slots":0.5`),
  "link-text": formatRecord("link-text", `"linkMbps":"fast"`),
  "link-large": formatRecord("link-large", `"linkMbps":1e400`),
  "id-break": formatRecord("id-break", `"id":"i-1\\r\\nx-attempt-id: 2"`),
  bytes: "\u0000\u0001",
  null: "null",
};

// Guards against one odd entry among those of the backend servers that ends the
// daemons which read it, or keeps them from following the store.
testDaemons(
  "odd entries of another writer end no daemon and hide no backend server",
  2,
  async (daemons, store) => {
    for (const [name, value] of Object.entries(ODD_ENTRIES)) {
      store.put(RECORD_PREFIX + name, value);
    }
    // An entry under another key that takes the place of a true record.
    for (const { name } of daemons) {
      store.put(
        `${RECORD_PREFIX}other-${name}`,
        formatRecord(name, `"bornAtUnixMs":9e15`),
      );
    }
    await sleep(1_500);
    let served = 0;
    for (let index = 0; index < REQUESTS; index++) {
      const daemon = daemons[index % daemons.length]!;
      if (await isServed(daemon, `odd-${index}`)) served++;
    }
    store.put(
      CONFIG_KEY,
      JSON.stringify(sampleConfig(2, [sampleRoute("last")])),
    );
    const areCurrent = await Promise.all(daemons.map((daemon) =>
      until(
        () => isServed(daemon, "last", "/last/1"),
        "the new route is served",
        APPLY_MS,
      ).then(() => true, () => false)
    ));
    const areAlive = daemons.map(({ pid }) => isAlive(pid));
    assert.equal({ served, areCurrent, areAlive }, {
      served: REQUESTS,
      areCurrent: [true, true],
      areAlive: [true, true],
    });
  },
);

test.run();
