import { setTimeout as sleep } from "node:timers/promises";
import { FakeMesh, type MeshOptions } from "../../platform/fakes/mesh.ts";

/** Path of the request under which backend servers end. */
export const FATAL_PATH = "/stock/fatal";
/** Time from the end of a backend server to its next process, in ms. */
const RESTART_MS = 1_500;
/** Time that requests run, in ms. */
const WORK_MS = 60;
/** Pause between two requests of the load, in ms. */
const PAUSE_MS = 15;
/** One request in this many is the fatal one. */
const FATAL_EVERY = 7;
/** Pause between two announcements of a backend server, in ms. */
const ANNOUNCE_MS = 300;
/** Time after the third end from which the fatal request is bounded, in ms. */
const STABLE_MS = 3_000;
/** Time after the third end by which others are served again, in ms. */
const RECOVERY_MS = 5_000;

/** What a load brought about. */
export interface FatalLoadResult {
  /** Number of backend processes that ended. */
  readonly ends: number;
  /** Arrivals of the fatal request later than 3 s after the third end. */
  readonly lateArrivals: number;
  /** Statuses of the fatal request's last responses. */
  readonly fatalStatuses: readonly number[];
  /** Counts of the statuses of other requests, from 5 s after the third end. */
  readonly otherStatuses: Readonly<Record<number, number>>;
  /** Paths of other requests that ran at an end and whose retries failed. */
  readonly unservedPaths: readonly string[];
}

/** Options of {@linkcode runFatalLoad}. */
export interface FatalLoadOptions extends MeshOptions {
  readonly size: number;
  readonly forMs: number;
  /** Number of different fatal requests; none for a control. */
  readonly fatalCount?: number;
  /** Runs beside the load. */
  readonly disturb?: (mesh: FakeMesh) => Promise<void>;
}

/** A request of the load and its response. */
interface LoadCall {
  readonly path: string;
  readonly sentAtMs: number;
  readonly status: number;
}

/**
 * Sends a fatal request beside others to all daemons of a mesh in turn. The
 * path of each other request is new; a caller retries it twice.
 *
 * @param options Size of the mesh, duration and disturbance.
 * @returns What backend servers and callers saw.
 */
export async function runFatalLoad(
  options: FatalLoadOptions,
): Promise<FatalLoadResult> {
  const { size, forMs, fatalCount = 1, disturb } = options;
  const mesh = await FakeMesh.start(size, options);
  const endsAtMs: number[] = [];
  const arrivalsAtMs: number[] = [];
  const calls: LoadCall[] = [];
  mesh.instances.forEach(({ backend }, index) => {
    backend.workMs = WORK_MS;
    backend.isFatal = (path) => path.startsWith(FATAL_PATH);
    backend.onEnd = () => {
      endsAtMs.push(performance.now());
      setTimeout(() => void mesh.startBackendAgain(index), RESTART_MS);
    };
  });
  const heartbeat = setInterval(() => {
    for (const [index, { backend }] of mesh.instances.entries()) {
      if (backend.hasEnded) continue;
      mesh.announce(index, "ready").catch(() => {
        // The daemon is being restarted.
      });
    }
  }, ANNOUNCE_MS);
  const startedAtMs = performance.now();
  const disturbance = disturb?.(mesh);
  const open: Promise<void>[] = [];
  for (let index = 0; performance.now() - startedAtMs < forMs; index++) {
    const isFatal = fatalCount > 0 && index % FATAL_EVERY === 0;
    const path = isFatal
      ? FATAL_PATH + index / FATAL_EVERY % fatalCount
      : `/stock/${index}`;
    open.push(callWithRetries(mesh, index, path, isFatal ? 0 : 2, calls));
    await sleep(PAUSE_MS);
  }
  await Promise.all(open);
  await disturbance;
  clearInterval(heartbeat);
  for (const { backend } of mesh.instances) {
    for (const run of backend.runs) {
      if (run.path.startsWith(FATAL_PATH)) arrivalsAtMs.push(run.atMs);
    }
  }
  // Until the last process that ended has been started again.
  await sleep(RESTART_MS + ANNOUNCE_MS);
  await mesh.stop();
  const thirdEndAtMs = endsAtMs[3 * fatalCount - 1] ?? startedAtMs;
  const others = calls.filter(({ path }) => !path.startsWith(FATAL_PATH));
  const served = new Set(
    others.filter(({ status }) => status === 200).map(({ path }) => path),
  );
  return {
    ends: endsAtMs.length,
    lateArrivals: arrivalsAtMs.filter((atMs) => atMs > thirdEndAtMs + STABLE_MS)
      .length,
    fatalStatuses: calls.filter(({ path }) => path.startsWith(FATAL_PATH))
      .slice(-3 * fatalCount).map(({ status }) => status),
    otherStatuses: countStatuses(
      others.filter(({ sentAtMs }) => sentAtMs > thirdEndAtMs + RECOVERY_MS),
    ),
    unservedPaths: [
      ...new Set(
        others.filter(({ path, sentAtMs }) =>
          !served.has(path) && sentAtMs > thirdEndAtMs + RECOVERY_MS
        ).map(({ path }) => path),
      ),
    ],
  };
}

async function callWithRetries(
  mesh: FakeMesh,
  index: number,
  path: string,
  retries: number,
  calls: LoadCall[],
): Promise<void> {
  for (let attempt = 0; attempt <= retries; attempt++) {
    const sentAtMs = performance.now();
    const instance = (index + attempt) % mesh.instances.length;
    const reply = await mesh.call(instance, { path }).catch(() => ({
      // The daemon is being restarted.
      status: 0,
    }));
    calls.push({ path, sentAtMs, status: reply.status });
    if (reply.status === 200) return;
  }
}

function countStatuses(calls: readonly LoadCall[]): Record<number, number> {
  const counts: Record<number, number> = {};
  for (const { status } of calls) counts[status] = (counts[status] ?? 0) + 1;
  return counts;
}
