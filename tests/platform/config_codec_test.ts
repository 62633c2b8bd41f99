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

test("decodeConfig() rejects a configuration with an invalid field as a whole", () => {
  const problems = [
    { ...sampleConfig(1), Version: "12" },
    { ...sampleConfig(1), Listeners: undefined },
    { ...sampleConfig(1), Backends: [{ Name: "stock" }] },
    sampleConfig(1, [{ Name: "x", Kind: "other" }]),
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
    "Cannot decode the configuration: HealthPath is not a non-empty string",
    "Cannot decode the configuration: kind other is unknown",
  ]);
});

test.run();
