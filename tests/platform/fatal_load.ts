import { setTimeout as sleep } from "node:timers/promises";
import { FakeMesh, type MeshOptions } from "../../platform/fakes/mesh.ts";
import { RunEnd } from "../../platform/fakes/backend.ts";

/** Prefix of the paths of requests under which backend servers end. */
const FATAL_PREFIX = "/stock/fatal-";
/** Time from the end of a backend server to its next process, in ms. */
const RESTART_MS = 1_500;
/** Time that requests run, in ms. */
const WORK_MS = 60;
/** Pause between two requests of the load, in ms. */
const PAUSE_MS = 15;
/** One request in this many is a fatal one. */
const FATAL_EVERY = 7;
/** Pause between two announcements of a backend server, in ms. */
const ANNOUNCE_MS = 300;
/** Number of ends after which a fatal request is bounded. */
const BOUNDED_ENDS = 3;
/** Time after the last of these from which it is bounded, in ms. */
const STABLE_MS = 3_000;
/** Time after these ends by which others are served again, in ms. */
const RECOVERY_MS = 5_000;
const CALLER_RETRIES = 2;

/** What a load brought about. */
export interface FatalLoadResult {
  /** Number of backend processes that ended. */
  readonly ends: number;
  /**
   * For each fatal request, its arrivals at backend servers later than 3 s
   * after the third end under it.
   */
  readonly lateArrivals: readonly number[];
  /** Statuses of the last fatal requests. */
  readonly fatalStatuses: readonly number[];
  /** Number of other requests whose callers got no 200 after 5 s. */
  readonly unserved: number;
  /** Number of other requests that ran at an end. */
  readonly bystanders: number;
  /** Statuses other than 200 that these got once the load had ended. */
  readonly bystanderStatuses: readonly number[];
}

/** Options of {@linkcode runFatalLoad}. */
export interface FatalLoadOptions extends MeshOptions {
  readonly size: number;
  readonly forMs: number;
  /** Number of different fatal requests; 1 by default. */
  readonly fatalCount?: number;
  /** Runs beside the load. */
  readonly disturb?: (mesh: FakeMesh) => Promise<void>;
}

/** A request of a caller, with its retries. */
interface LoadCall {
  readonly path: string;
  readonly sentAtMs: number;
  /** Status of the last response; 0 without one. */
  status: number;
}

/**
 * Sends fatal requests beside others to all daemons of a mesh in turn. The path
 * of each other request is new; its caller retries it twice.
 *
 * @param options Size of the mesh, duration and disturbance.
 * @returns What backend servers and callers saw.
 */
export async function runFatalLoad(
  options: FatalLoadOptions,
): Promise<FatalLoadResult> {
  const { size, forMs, fatalCount = 1, disturb } = options;
  const mesh = await FakeMesh.start(size, options);
  const endsAtMs = new Map<string, number[]>();
  for (const [index, { backend }] of mesh.instances.entries()) {
    backend.workMs = WORK_MS;
    backend.isFatal = (path) => path.startsWith(FATAL_PREFIX);
    backend.onEnd = (path) => {
      endsAtMs.set(path, [...endsAtMs.get(path) ?? [], performance.now()]);
      setTimeout(() => void mesh.startBackendAgain(index), RESTART_MS);
    };
  }
  const heartbeat = setInterval(() => announceAll(mesh), ANNOUNCE_MS);
  const calls: LoadCall[] = [];
  const open: Promise<void>[] = [];
  const startedAtMs = performance.now();
  const disturbance = disturb?.(mesh);
  for (let index = 0; performance.now() - startedAtMs < forMs; index++) {
    const isFatal = index % FATAL_EVERY === 0;
    const path = isFatal
      ? `${FATAL_PREFIX}${index / FATAL_EVERY % fatalCount}`
      : `/stock/${index}`;
    const call = { path, sentAtMs: performance.now(), status: 0 };
    calls.push(call);
    open.push(send(mesh, index, call, isFatal ? 0 : CALLER_RETRIES));
    await sleep(PAUSE_MS);
  }
  await Promise.all(open);
  await disturbance;
  // Until all backend servers have been started again.
  await sleep(RESTART_MS + ANNOUNCE_MS);
  const bystanders = findBystanders(mesh);
  const bystanderStatuses = await sendOneByOne(mesh, bystanders);
  clearInterval(heartbeat);
  await mesh.stop();
  const thirdEndAtMs = (path: string) =>
    endsAtMs.get(path)?.[BOUNDED_ENDS - 1] ?? Infinity;
  const fatalPaths = [...endsAtMs.keys()].sort();
  const lastThirdEndAtMs = Math.max(...fatalPaths.map(thirdEndAtMs));
  const isFatal = ({ path }: LoadCall) => path.startsWith(FATAL_PREFIX);
  return {
    ends: [...endsAtMs.values()].flat().length,
    lateArrivals: fatalPaths.map((path) =>
      mesh.instances.flatMap(({ backend }) => backend.runs).filter((run) =>
        run.path === path && run.atMs > thirdEndAtMs(path) + STABLE_MS
      ).length
    ),
    fatalStatuses: calls.filter(isFatal).slice(-3).map(({ status }) => status),
    unserved: calls.filter((call) =>
      !isFatal(call) && call.status !== 200 &&
      call.sentAtMs > lastThirdEndAtMs + RECOVERY_MS
    ).length,
    bystanders: bystanders.length,
    bystanderStatuses: bystanderStatuses.filter((status) => status !== 200),
  };
}

function announceAll(mesh: FakeMesh): void {
  for (const [index, { backend }] of mesh.instances.entries()) {
    if (backend.hasEnded) continue;
    mesh.announce(index, "ready").catch(() => {
      // The daemon is being restarted.
    });
  }
}

async function send(
  mesh: FakeMesh,
  index: number,
  call: LoadCall,
  retries: number,
): Promise<void> {
  for (let attempt = 0; attempt <= retries; attempt++) {
    const instance = (index + attempt) % mesh.instances.length;
    try {
      call.status = (await mesh.call(instance, { path: call.path })).status;
    } catch {
      // The daemon is being restarted.
      call.status = 0;
    }
    if (call.status === 200) return;
  }
}

/** Returns the paths of other requests that were running at an end. */
function findBystanders(mesh: FakeMesh): readonly string[] {
  const paths = mesh.instances.flatMap(({ backend }) => backend.runs)
    .filter(({ end }) => end === RunEnd.BrokenOff)
    .map(({ path }) => path);
  return [...new Set(paths)].filter((path) => !path.startsWith(FATAL_PREFIX));
}

async function sendOneByOne(
  mesh: FakeMesh,
  paths: readonly string[],
): Promise<number[]> {
  const statuses: number[] = [];
  for (const [index, path] of paths.entries()) {
    const instance = index % mesh.instances.length;
    statuses.push((await mesh.call(instance, { path })).status);
  }
  return statuses;
}
