import { Buffer } from "node:buffer";
import { request as httpRequest } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CONFIG_KEY, sampleConfig } from "../../platform/fakes/mesh.ts";
import { ProcessUsage } from "../../testkit/process_usage.ts";
import { until } from "../../testkit/until.ts";
import { isServed, testDaemons } from "./daemon_processes.ts";

const MAX_BODY_BYTES = 64 * 1024 * 1024;
/** Memory of the instance, in MB. */
const MEMORY_MB = 250;
const TIMEOUT_MS = 20_000;

function largeConfig(): object {
  const config = sampleConfig(2, [{
    Name: "uploads",
    Kind: "non_idempotent",
    SloS: 5,
    Priority: 0,
    Match: { Prefix: "/uploads/" },
    Action: { Service: "stock", TimeoutS: TIMEOUT_MS / 1_000, Attempts: 1 },
  }]) as { Limits: object };
  return {
    ...config,
    Limits: { ...config.Limits, MaxBodyBytes: MAX_BODY_BYTES },
  };
}

function upload(port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    const request = httpRequest({
      host: "127.0.0.1",
      port,
      method: "POST",
      path: "/uploads/1",
      headers: {
        host: "shop.example",
        "x-attempt-id": "upload",
        "x-deadline-ms": TIMEOUT_MS,
        "content-length": MAX_BODY_BYTES,
      },
    }, (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    request.on("error", reject);
    request.end(Buffer.alloc(MAX_BODY_BYTES, "x"));
  });
}

// Guards against an account so small that it refuses a client within the limits.
testDaemons(
  "a body at the limit of 64 MB is served on an instance of 250 MB",
  1,
  async ([daemon], store) => {
    store.put(CONFIG_KEY, JSON.stringify(largeConfig()));
    await until(() => isServed(daemon!, "ready", "/uploads/0"), "the route");
    const usage = new ProcessUsage(daemon!.pid);
    const status = await upload(daemon!.ingressPort);
    const isAnswered = await isServed(daemon!, "after");
    usage.stop();
    assert.equal({ status, isAnswered }, { status: 200, isAnswered: true });
    assert.ok(
      usage.maxAnonymousMib < MEMORY_MB,
      `${usage.maxAnonymousMib} MiB of ${MEMORY_MB}`,
    );
  },
  [],
  MEMORY_MB,
);

test.run();
