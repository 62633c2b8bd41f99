import { spawnSync } from "node:child_process";
import { connect, type Socket } from "node:net";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { test } from "uvu";
import { KvServer } from "../../platform/fakes/kv_server.ts";
import { CONFIG_KEY, sampleConfig } from "../../platform/fakes/mesh.ts";
import { SoakInstance } from "../../soak/instance.ts";
import { until } from "../../testkit/until.ts";

/** Time within which the daemons of a test must serve requests, in ms. */
const START_TIMEOUT_MS = 20_000;
/** Grace period from SIGTERM to the exit of a daemon, in s. */
const GRACE_S = 6;

/**
 * Defines a test on daemons that run as separate processes and can be paused.
 *
 * @param name Name of the test.
 * @param count Number of daemons, each in a failure domain of its own.
 * @param run The test.
 * @param nodeArgs Arguments of Node.js for the daemons; none by default.
 * @param memoryMb Memory of the instances in the settings, in MB.
 */
export function testDaemons(
  name: string,
  count: number,
  run: (daemons: readonly SoakInstance[], store: KvServer) => Promise<void>,
  nodeArgs: readonly string[] = [],
  memoryMb?: number,
): void {
  test(name, async () => {
    const folder = mkdtempSync(join(tmpdir(), "sesamepond-"));
    const bundle = join(folder, "sesamepond.cjs");
    spawnSync(process.execPath, ["scripts/build_platform.mjs", bundle]);
    const store = await KvServer.start();
    store.put(CONFIG_KEY, JSON.stringify(sampleConfig(1)));
    const daemons: SoakInstance[] = [];
    try {
      for (let index = 0; index < count; index++) {
        daemons.push(
          await SoakInstance.start({
            index,
            domain: `domain-${index}`,
            folder,
            bundle,
            storePort: Number(store.address.split(":")[1]),
            graceS: GRACE_S,
            nodeArgs,
            ...(memoryMb === undefined ? {} : { memoryMb }),
          }),
        );
      }
      for (const daemon of daemons) {
        await until(
          () => isServed(daemon, "first"),
          "the daemons serve",
          START_TIMEOUT_MS,
        );
      }
      await run(daemons, store);
    } finally {
      for (const daemon of daemons) await daemon.end();
      await store.stop();
      rmSync(folder, { recursive: true });
    }
  });
}

/** Sends a caller's request and returns whether the status is 200. */
export async function isServed(
  daemon: SoakInstance,
  id: string,
  path?: string,
): Promise<boolean> {
  const socket = await openConnection(daemon.ingressPort);
  if (socket.destroyed) return false;
  socket.write(formatCallerRequest(id, path));
  const response = await new Promise<string>((resolve) => {
    socket.once("data", (chunk) => resolve(String(chunk)));
    socket.once("close", () => resolve(""));
  });
  socket.destroy();
  return response.startsWith("HTTP/1.1 200");
}

/** Opens a connection; returns a destroyed socket if it was refused. */
export async function openConnection(port: number): Promise<Socket> {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {
    // The daemon may reset a connection that the caller has closed.
  });
  await new Promise((resolve) => {
    socket.once("connect", resolve);
    socket.once("close", resolve);
  });
  return socket;
}

/** Formats an idempotent request of a caller. */
export function formatCallerRequest(id: string, path = "/stock/1"): string {
  return `GET ${path} HTTP/1.1\r\nhost: shop.example\r\n` +
    `x-attempt-id: ${id}\r\nx-deadline-ms: 5000\r\n\r\n`;
}
