import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { decodeConfig } from "../../platform/config_codec.ts";
import { sampleConfig } from "../../platform/fakes/mesh.ts";

const encode = (value: unknown) => Buffer.from(JSON.stringify(value));

test("decodeConfig() decodes routes, splits, services and limits", () => {
  const split = {
    Name: "proofs",
    Kind: "upload",
    SloS: 1,
    Priority: 2,
    Match: { Prefix: "/proofs/" },
    Action: {
      Split: [{ Service: "a", Weight: 90 }, { Service: "b", Weight: 10 }],
      TimeoutS: 1.5,
      Attempts: 1,
    },
  };
  const config = decodeConfig(encode(sampleConfig(12, [split])));
  assert.equal({
    version: config.version,
    route: config.routes.at(-1),
    services: config.services,
    limits: config.limits,
  }, {
    version: 12,
    route: {
      name: "proofs",
      host: "shop.example",
      prefix: "/proofs/",
      targets: [{ service: "a", weight: 90 }, { service: "b", weight: 10 }],
      kind: "upload",
      timeoutMs: 1_500,
      objectiveMs: 1_000,
      priority: 2,
      maxAttempts: 1,
    },
    services: [{ name: "stock", healthPath: "/health", maxConnections: 100 }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  });
});

/** Decodes one more route beside the sample's; returns it with the gaps. */
function decodeRule(rule: object) {
  const { routes, gaps } = decodeConfig(encode(sampleConfig(1, [{
    Name: "plans",
    Kind: "idempotent",
    Match: { Prefix: "/plans/" },
    Action: { Service: "records", TimeoutS: 2, Attempts: 2 },
    ...rule,
  }])));
  const added = routes.find(({ prefix }) => prefix === "/plans/");
  return { kept: routes.length, added, gaps };
}

test("decodeConfig() takes a download for a request that may be repeated", () => {
  const { added, gaps } = decodeRule({ Kind: "download" });
  assert.equal({ kind: added?.kind, gaps }, { kind: "idempotent", gaps: [] });
});

// One unknown word in one route had taken away the routes of all daemons.
test("decodeConfig() serves a route with an unknown part as strictly as it can", () => {
  const base = decodeRule({}).kept;
  const summary = [
    { Kind: "stream" },
    { Kind: undefined },
    { SloS: "soon" },
    { Priority: null },
    { Action: { TimeoutS: 2, Mirror: "records" } },
    { Action: { Split: [{ Service: "a" }, { Service: "b", Weight: 1 }] } },
    { Match: { Suffix: "x" } },
  ].map((rule) => {
    const { kept, added, gaps } = decodeRule(rule);
    return [
      kept - base,
      added?.kind,
      added?.targets.length,
      ...gaps.map(({ subject, reason }) => `${subject}: ${reason}`),
    ];
  });
  const refused = "plans: the target cannot be read; requests are refused";
  assert.equal(summary, [
    [
      0,
      "at-most-once",
      1,
      "plans: kind stream is unknown; served at most once",
    ],
    [
      0,
      "at-most-once",
      1,
      "plans: kind undefined is unknown; served at most once",
    ],
    [0, "idempotent", 1, "plans: SloS is not a number; 1 holds"],
    [0, "idempotent", 1, "plans: Priority is not a number; 1 holds"],
    [0, "idempotent", 0, refused],
    [0, "idempotent", 0, refused],
    [-1, undefined, undefined, "plans: the route has no prefix"],
  ]);
});

test("decodeConfig() uses defaults for limits and passes over a service that it cannot read", () => {
  const { services, limits, gaps } = decodeConfig(encode({
    ...sampleConfig(1),
    Backends: [{ Name: "stock" }, 7],
    Limits: { IdleTimeoutS: 9 },
  }));
  assert.equal({ services, idleTimeoutMs: limits.idleTimeoutMs, gaps }, {
    services: [],
    idleTimeoutMs: 9_000,
    gaps: [
      { subject: "stock", reason: "the service cannot be read; not probed" },
      {
        subject: "undefined",
        reason: "the service cannot be read; not probed",
      },
      {
        subject: "",
        reason: "limit MaxHeaderBytes is not a number; 16384 holds",
      },
      {
        subject: "",
        reason: "limit MaxBodyBytes is not a number; 16777216 holds",
      },
      { subject: "", reason: "limit HeaderTimeoutS is not a number; 5 holds" },
    ],
  });
});

test("decodeConfig() refuses a configuration without a version or routes", () => {
  const problems = [
    { ...sampleConfig(1), Version: "12" },
    { ...sampleConfig(1), Listeners: undefined },
    { ...sampleConfig(1), Backends: "none" },
  ].map((config) => {
    try {
      decodeConfig(encode(config));
      return "decoded";
    } catch (error) {
      return (error as Error).message;
    }
  });
  assert.equal(problems, [
    "Cannot decode the configuration: version 12 is malformed",
    "Cannot decode the configuration: Listeners is not an array",
    "Cannot decode the configuration: Backends is not an array",
  ]);
});

test("decodeConfig() decodes organisations, and gives no key to two", () => {
  const Tenants = [
    { Name: "a", ApiKeys: ["k1", "k2"], Priority: 0, PerS: 5, Burst: 10 },
    { Name: "b", ApiKeys: ["k2", "k3"], PerS: -1 },
    { Name: "c" },
  ];
  const raw = { ...sampleConfig(1), Tenants };
  const config = decodeConfig(encode(raw));
  assert.equal({ organisations: config.organisations, gaps: config.gaps }, {
    organisations: [
      { name: "a", keys: ["k1", "k2"], priority: 0, limitPerS: 5, burst: 10 },
      { name: "b", keys: ["k3"], priority: 1, limitPerS: 0, burst: 0 },
    ],
    gaps: [
      { subject: "b", reason: "a key is also held by tenant a" },
      {
        subject: "b",
        reason: "PerS is not a non-negative number; 0 holds",
      },
      { subject: "c", reason: "the tenant has no name or no keys" },
    ],
  });
});

test.run();
