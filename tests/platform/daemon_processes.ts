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

/** Time in which the daemons of a test serve, in ms. */
const START_MS = 20_000;
/** Time from SIGTERM to the end of a daemon, in s. */
const GRACE_S = 6;

/**
 * Runs a test on daemons in processes of their own, which can be paused.
 *
 * @param name Name of the test.
 * @param count Number of daemons, each in a failure domain of its own.
 * @param run The test.
 */
export function daemonsTest(
  name: string,
  count: number,
  run: (daemons: readonly SoakInstance[], store: KvServer) => Promise<void>,
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
          }),
        );
      }
      for (const daemon of daemons) {
        await until(
          () => isServed(daemon, "first"),
          "the daemons serve",
          START_MS,
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

/** Whether a daemon serves a request of a caller. */
export async function isServed(
  daemon: SoakInstance,
  id: string,
  path?: string,
): Promise<boolean> {
  const socket = await open(daemon.ingressPort);
  if (socket.destroyed) return false;
  socket.write(edgeRequest(id, path));
  const answer = await new Promise<string>((resolve) => {
    socket.once("data", (chunk) => resolve(String(chunk)));
    socket.once("close", () => resolve(""));
  });
  socket.destroy();
  return answer.startsWith("HTTP/1.1 200");
}

/** Opens a connection; one that was refused is returned destroyed. */
export async function open(port: number): Promise<Socket> {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {
    // The daemon may reset what its caller has closed.
  });
  await new Promise((resolve) => {
    socket.once("connect", resolve);
    socket.once("close", resolve);
  });
  return socket;
}

/** A request of a caller that may be repeated. */
export function edgeRequest(id: string, path = "/stock/1"): string {
  return `GET ${path} HTTP/1.1\r\nhost: shop.example\r\n` +
    `x-attempt-id: ${id}\r\nx-deadline-ms: 5000\r\n\r\n`;
}
