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

/** The longest delay of an announcement, in ms. */
const MAX_DELAY_MS = 5_000;

/** How a daemon process starts. */
interface Start {
  /** Status of the backend server's health check. */
  readonly healthStatus: number;
  /** Whether the store, and so the configuration, can be read. */
  readonly hasStore: boolean;
  /** Time since the start of the daemon process, in ms. @default {0} */
  readonly ageMs?: number;
}

/** Starts a lifecycle beside a backend server that answers health checks. */
async function startLifecycle(start: Start) {
  let checkCount = 0;
  const server = createServer((_request, response) => {
    checkCount++;
    response.writeHead(start.healthStatus, { id: RECORD.id }).end();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const routes = new RouteTableHolder();
  if (start.hasStore) routes.adopt(CONFIG, new Uint8Array());
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
    startedAtMs: performance.now() - (start.ageMs ?? 0),
  });
  return {
    lifecycle,
    backend,
    routes,
    /** Waits until a number of health checks have ended. */
    untilChecked: (count: number) =>
      until(() => {
        log.flush();
        const ended = lines.join("").split("backend-recovered").length - 1;
        return checkCount >= count && ended >= count;
      }, `${count} health checks have ended`),
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
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
  const { lifecycle, backend, untilChecked, stop } = await startLifecycle({
    healthStatus,
    hasStore: true,
  });
  lifecycle.recover(RECORD);
  await untilChecked(1);
  const steps = [backend.ready !== undefined];
  for (const announcement of announcements) {
    lifecycle.handleAnnouncement(announcement);
    steps.push(backend.ready !== undefined);
  }
  stop();
  return steps;
}

// Reported by other operators: after a restart a server that had left was in
// use again. The drain was acknowledged while the store was down.
test("BackendLifecycle takes no late announcement for a backend server that drained before a restart", async () => {
  assert.equal({
    drained: await readyAfter(503, [
      announce(7),
      announce(7),
      announce(9, BackendState.Draining),
      announce(8),
    ]),
    left: await readyAfter(503, [announce(7)]),
    twoLate: await readyAfter(503, [announce(7), announce(8)]),
    healthy: await readyAfter(200, [announce(7)]),
  }, {
    drained: [false, false, false, false, false],
    left: [false, false],
    twoLate: [false, false, false],
    healthy: [true, true],
  });
});

// Review 2: with the store down, nothing tells the new process of the leave, and
// the first late announcement was taken for that of a new backend server.
test("BackendLifecycle takes no late announcement before the store can be read", async () => {
  const outcomes: Record<string, readonly boolean[]> = {};
  for (const healthStatus of [503, 200]) {
    const { lifecycle, backend, routes, untilChecked, stop } =
      await startLifecycle({ healthStatus, hasStore: false });
    const steps: boolean[] = [];
    const isHealthy = healthStatus === 200;
    lifecycle.handleAnnouncement(announce(7));
    steps.push(backend.ready !== undefined);
    await untilChecked(1);
    steps.push(backend.ready !== undefined);
    lifecycle.handleAnnouncement(announce(8));
    await untilChecked(isHealthy ? 1 : 2);
    // The store is back.
    routes.adopt(CONFIG, new Uint8Array());
    void lifecycle.checkUnproven();
    await untilChecked(isHealthy ? 1 : 3);
    lifecycle.recover(RECORD);
    await untilChecked(isHealthy ? 1 : 4);
    steps.push(backend.ready !== undefined);
    stop();
    outcomes[healthStatus] = steps;
  }
  assert.equal(outcomes, {
    200: [false, true, true],
    503: [false, false, false],
  });
});

// A daemon that is restarted while the store is down has to serve all the same.
test("BackendLifecycle takes an announcement that was sent after the start, without the store", async () => {
  const ready = [];
  for (const ageMs of [MAX_DELAY_MS - 1_000, MAX_DELAY_MS]) {
    const { lifecycle, backend, stop } = await startLifecycle({
      healthStatus: 503,
      hasStore: false,
      ageMs,
    });
    lifecycle.handleAnnouncement(announce(7));
    ready.push(backend.ready !== undefined);
    stop();
  }
  assert.equal(ready, [false, true]);
});

test("recover() drains a backend server that was taken for ready before", async () => {
  const { lifecycle, backend, stop } = await startLifecycle({
    healthStatus: 200,
    hasStore: false,
    ageMs: MAX_DELAY_MS,
  });
  lifecycle.handleAnnouncement(announce(7));
  const before = backend.ready !== undefined;
  lifecycle.recover({ ...RECORD, state: BackendState.Draining });
  stop();
  assert.equal([before, backend.ready !== undefined], [true, false]);
});

test.run();
