import { test } from "uvu";
import * as assert from "uvu/assert";
import { type MeshRoute, RequestKind } from "../protocol/mesh.ts";
import { RouteTable } from "./route_table.ts";

function route(name: string, host: string, prefix: string): MeshRoute {
  return {
    name,
    host,
    prefix,
    targets: [{ service: "stock", weight: 1 }],
    kind: RequestKind.Idempotent,
    timeoutMs: 1_000,
    objectiveMs: 500,
    priority: 0,
    maxAttempts: 2,
  };
}

const table = new RouteTable({
  version: 1,
  routes: [
    route("all", "a.example", "/"),
    route("stock", "a.example", "/stock/"),
    route("sizes", "a.example", "/stock/sizes/"),
    route("other", "b.example", "/stock/"),
  ],
  services: [{ name: "stock", healthPath: "/health", maxConnections: 10 }],
  gaps: [],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
});

test("find() returns the route with the longest prefix for the host", () => {
  const found = [
    ["a.example", "/stock/1"],
    ["A.example:8080", "/stock/sizes/2?x=/stock/"],
    ["a.example", "/stocks"],
    ["b.example", "/stock/sizes/2"],
    ["b.example", "/"],
    ["b.example", "/stock"],
    ["c.example", "/stock/1"],
  ].map(([host, path]) => table.find(host!, path!)?.name);
  assert.equal(found, [
    "stock",
    "sizes",
    "all",
    "other",
    undefined,
    undefined,
    undefined,
  ]);
});

/** Lookups that may hold up the process for no longer than this, in ms. */
const MAX_STALL_MS = 500;
const LOOKUPS = 200;

// The class of review 5: a target of 16 kB of slashes was looked up and hashed
// once for each slash.
test("find() does not try prefixes longer than those of the host", () => {
  const target = "/".repeat(16_000);
  const startedAtMs = performance.now();
  let found = 0;
  for (let index = 0; index < LOOKUPS; index++) {
    if (table.find("a.example", target + index)?.name === "all") found++;
  }
  const tookMs = performance.now() - startedAtMs;
  assert.is(found, LOOKUPS);
  assert.ok(tookMs < MAX_STALL_MS, `took ${Math.round(tookMs)} ms`);
});

test.run();
