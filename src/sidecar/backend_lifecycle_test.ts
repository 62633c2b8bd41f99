import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type Announcement,
  type BackendRecord,
  BackendState,
  type MeshConfig,
} from "../protocol/mesh.ts";
import { BackendDirectory } from "../state/backend_directory.ts";
import { LocalBackend } from "../state/local_backend.ts";
import { RouteTableHolder } from "../state/route_table_holder.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { until } from "../../testkit/until.ts";
import type { BackendDispatcher } from "./backend_dispatcher.ts";
import { BackendLifecycle } from "./backend_lifecycle.ts";
import type { RecordPublisher } from "./record_publisher.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { SidecarSettings } from "./sidecar_settings.ts";

const RECORD: BackendRecord = {
  id: "i-1",
  instance: "a-1",
  service: "stock",
  domain: "a",
  peerAddress: "127.0.0.1:1",
  slots: 4,
  state: BackendState.Ready,
  bornAtUnixMs: 5,
  linkMbps: 0,
};

const CONFIG: MeshConfig = {
  version: 1,
  gaps: [],
  routes: [],
  services: [{ name: "stock", healthPath: "/health", maxConnections: 9 }],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
};

function announce(sequence: number, state = BackendState.Ready): Announcement {
  const { id, service, slots, bornAtUnixMs } = RECORD;
  return { id, service, address: "", slots, state, sequence, bornAtUnixMs };
}

/**
 * Recovers the recorded backend server and applies announcements.
 *
 * @returns After each step, whether it accepts requests.
 */
async function readyAfter(
  healthStatus: number,
  announcements: readonly Announcement[],
): Promise<readonly boolean[]> {
  let checkCount = 0;
  const server = createServer((_request, response) => {
    checkCount++;
    response.writeHead(healthStatus, { id: RECORD.id }).end();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const routes = new RouteTableHolder();
  routes.adopt(CONFIG, new Uint8Array());
  const backend = new LocalBackend();
  const lines: string[] = [];
  const log = new EventLog({
    sink: { write: (text) => lines.push(text), close: () => {} },
  });
  const lifecycle = new BackendLifecycle({
    settings: {
      instance: RECORD.instance,
      backendAddress: `127.0.0.1:${port}`,
    } as SidecarSettings,
    backend,
    dispatcher: {
      connect: () => {},
      rejectQueued: () => {},
    } as unknown as BackendDispatcher,
    directory: new BackendDirectory(),
    publisher: { publish: () => {} } as unknown as RecordPublisher,
    quarantine: { reports: [] } as unknown as RequestQuarantine,
    routes,
    idHeader: "id",
    log,
  });
  lifecycle.recover(RECORD);
  await until(() => {
    log.flush();
    return checkCount > 0 && lines.join("").includes("backend-recovered");
  }, "the health check has ended");
  const steps = [backend.ready !== undefined];
  for (const announcement of announcements) {
    lifecycle.handleAnnouncement(announcement);
    steps.push(backend.ready !== undefined);
  }
  server.close();
  server.closeAllConnections();
  return steps;
}

// Reported by other operators: after a restart a server that had left was in
// use again. The drain was acknowledged while the store was down.
test("BackendLifecycle takes no single late announcement for a backend server that drained before a restart", async () => {
  assert.equal({
    drained: await readyAfter(503, [
      announce(7),
      announce(7),
      announce(9, BackendState.Draining),
      announce(8),
    ]),
    left: await readyAfter(503, [announce(7)]),
    unhealthy: await readyAfter(503, [announce(7), announce(8)]),
    healthy: await readyAfter(200, [announce(7)]),
  }, {
    drained: [false, false, false, false, false],
    left: [false, false],
    unhealthy: [false, false, true],
    healthy: [true, true],
  });
});

test.run();
