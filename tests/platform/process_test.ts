import { type ChildProcess, spawn, spawnSync } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeBackend } from "../../platform/fakes/backend.ts";
import { KvServer } from "../../platform/fakes/kv_server.ts";
import { CONFIG_KEY, sampleConfig } from "../../platform/fakes/mesh.ts";
import { findFreePorts } from "../../testkit/find_free_ports.ts";
import { until } from "../../testkit/until.ts";

const HOST = "127.0.0.1";

/** The values with which the platform fills the settings template. */
interface PlatformFields {
  readonly ports: readonly number[];
  readonly backend: FakeBackend;
  readonly store: KvServer;
}

function fillTemplate(fields: PlatformFields): string {
  const address = (index: number) => `${HOST}:${fields.ports[index]}`;
  const values: Readonly<Record<string, string | string[]>> = {
    NodeName: "instance-0",
    Zone: "domain-0",
    Service: "stock",
    AppAddr: fields.backend.address,
    "Listen.Outbound": address(0),
    "Listen.Inbound": address(1),
    "Listen.Ready": address(2),
    "Listen.Control": address(3),
    "Provider.Address": fields.store.address,
    Bounds: ["GraceS=1", "RetryRatio=0.2", "BudgetWindowS=10", "RetrySlack=58"],
  };
  return readFileSync("platform/settings.jsonc.template", "utf8")
    .replaceAll("{{BindIp}}:9464", address(4))
    .replaceAll(
      /\{\{([\w.]+)\|json\}\}/g,
      (_match, name) => JSON.stringify(values[name]),
    )
    .replaceAll(
      /\{\{([\w.]+)\}\}/g,
      (_match, name) => String(values[name] ?? ""),
    );
}

async function waitForExitCode(child: ChildProcess): Promise<number | null> {
  if (child.exitCode === null) await once(child, "exit");
  return child.exitCode;
}

test("the bundled daemon starts, serves, reloads and stops", async () => {
  const folder = mkdtempSync(join(tmpdir(), "sesamepond-"));
  const bundle = join(folder, "sesamepond.cjs");
  spawnSync(process.execPath, ["scripts/build_platform.mjs", bundle]);
  const store = await KvServer.start();
  store.put(CONFIG_KEY, JSON.stringify(sampleConfig(1)));
  const backend = await FakeBackend.start("i-0");
  const ports = await findFreePorts(5, HOST);
  const settings = join(folder, "settings");
  writeFileSync(settings, fillTemplate({ ports, backend, store }));
  const child = spawn(process.execPath, [bundle], {
    env: { ...process.env, SESAMEPOND_CONFIG: settings },
    stdio: ["ignore", "pipe", "inherit"],
  });
  let log = "";
  child.stdout.on("data", (chunk) => log += String(chunk));
  const url = (index: number, path: string) =>
    `http://${HOST}:${ports[index]}${path}`;
  await until(
    () => fetch(url(2, "/api/ready")).then((r) => r.ok, () => false),
    "the daemon is ready",
  );
  await fetch(url(3, "/api/rpc?call=instances.heartbeat&of=i-0"), {
    method: "POST",
    body: JSON.stringify({
      Service: "stock",
      Address: backend.address,
      Capacity: 4,
      State: "ready",
      Sequence: 1,
    }),
  });
  const unknownHost = await fetch(url(0, "/stock/1"));
  writeFileSync(settings, "{");
  child.kill("SIGHUP");
  await until(() => log.includes("event=settings-refused"), "the reload");
  child.kill("SIGTERM");
  const exitCode = await waitForExitCode(child);
  await backend.stop();
  await store.stop();
  rmSync(folder, { recursive: true });
  const events = [...log.matchAll(/event=([a-z-]+)/g)].map(([, name]) => name);
  assert.equal({
    status: unknownHost.status,
    exitCode,
    events: [
      "daemon-started",
      "config-adopted",
      "backend-started",
      "settings-refused",
      "daemon-stopping",
      "daemon-stopped",
    ].filter((name) => !events.includes(name)),
  }, { status: 404, exitCode: 0, events: [] });
});

test("an invalid settings file stops the daemon and the reason is printed", async () => {
  const folder = mkdtempSync(join(tmpdir(), "sesamepond-"));
  const bundle = join(folder, "sesamepond.cjs");
  spawnSync(process.execPath, ["scripts/build_platform.mjs", bundle]);
  const settings = join(folder, "settings");
  writeFileSync(settings, '{ "instance": "a", "domain": 7 }');
  const child = spawn(process.execPath, [bundle], {
    env: { ...process.env, SESAMEPOND_CONFIG: settings },
    stdio: ["ignore", "ignore", "pipe"],
  });
  let errors = "";
  child.stderr.on("data", (chunk) => errors += String(chunk));
  const exitCode = await waitForExitCode(child);
  rmSync(folder, { recursive: true });
  assert.equal(
    { exitCode, hasReason: errors.includes('"domain" is missing') },
    {
      exitCode: 1,
      hasReason: true,
    },
  );
});

test.run();
