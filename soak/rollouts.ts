import { setTimeout as sleep } from "node:timers/promises";
import {
  BackendFault,
  type BackendRun,
  type FakeBackend,
  RunEnd,
} from "../platform/fakes/backend.ts";
import { hash32 } from "../src/protocol/hash.ts";
import type { Random } from "../src/protocol/random.ts";
import type { Fleet } from "./fleet.ts";
import { FIRST_VERSION, type SoakInstance } from "./instance.ts";
import type { Rollout } from "./sidecar_checks.ts";

const SERVICE = "stock";
const ORDER_KEY = `op/rollout/${SERVICE}`;
const STATUS_KEY = `status/rollout/${SERVICE}`;
const DURATION_S = 8;
const DURATION_MS = DURATION_S * 1_000;
/** Time from the time limit within which a rollout has a result, in ms. */
const RESULT_MS = 15_000;
const POLL_MS = 10;
/** Time for which backend servers drain before and after a rollout, in ms. */
const START_DRAIN_MS = 300;
const END_DRAIN_MS = 2_000;
/** Time from the start of backend servers to the order, in ms. */
const ANNOUNCED_MS = 1_000;
/** Usual work on a request, and that of one request in 20, in ms. */
const WORK_RANGE_MS = 40;
const LONG_WORK_MS = 300;
const LONG_WORK_EVERY = 20;
/** Work on requests that a bad version runs slowly, in ms. */
const SLOW_WORK_MS = 350;
/** Time from the order after which some versions begin to be bad, in ms. */
const LATE_MS = 3_000;
/** Requests within a second from which some versions are bad. */
const LOAD_PER_S = 8;
const MS_PER_S = 1_000;

enum VersionKind {
  Good = "good",
  /** Resets connections. */
  Failing = "failing",
  Slow = "slow",
}

/** A version of the service, as its backend servers behave. */
interface SoakVersion extends Rollout {
  readonly kind: VersionKind;
  readonly badRuns: Set<BackendRun>;
  /** Whether a response is bad, from the runs before it at the same process. */
  readonly isBadRun: (
    run: BackendRun,
    earlier: readonly BackendRun[],
  ) => boolean;
  orderedAtMs: number;
  limitAtMs: number;
}

/** Moves the service of a fleet to new versions, one at a time. */
export class Rollouts {
  readonly rollouts: SoakVersion[] = [];
  readonly problems: string[] = [];
  /** Number of rollouts by kind of the version and result. */
  readonly results: Record<string, number> = {};
  #inUse = FIRST_VERSION;
  #active: Promise<void> | undefined;
  #last: { readonly version: string; readonly state: string } | undefined;

  /** Starts a rollout; `false` if there is one already. */
  start(fleet: Fleet, isBad: boolean, random: Random): boolean {
    if (this.#active !== undefined) return false;
    const version = `v${this.rollouts.length + 2}`;
    const next = createVersion(version, isBad, random);
    this.rollouts.push(next);
    this.#active = this.#run(fleet, next).finally(() =>
      this.#active = undefined
    );
    return true;
  }

  /** Waits until no rollout is in progress. */
  async wait(): Promise<void> {
    await this.#active;
  }

  /** Reports whether the last result is no longer in the store. */
  findChanged(fleet: Fleet): string[] {
    if (this.#last === undefined) return [];
    const { version, state } = this.#last;
    return readState(fleet, version) === state
      ? []
      : [`the rollout of ${version} is no longer ${state}`];
  }

  /** Makes a backend server behave as its version does. */
  prepare(backend: FakeBackend, version: string): void {
    const rollout = this.rollouts.find((one) => one.version === version);
    const isBadRun = (run: BackendRun) => rollout?.badRuns.has(run) === true;
    backend.faultOf = (run) =>
      rollout?.kind === VersionKind.Failing && isBadRun(run)
        ? BackendFault.Reset
        : BackendFault.None;
    backend.workMsOf = (id, run) => {
      if (rollout?.isBadRun(run, backend.runs)) rollout.badRuns.add(run);
      return rollout?.kind === VersionKind.Slow && isBadRun(run)
        ? SLOW_WORK_MS
        : pickWorkMs(id);
    };
  }

  async #run(fleet: Fleet, next: SoakVersion): Promise<void> {
    const half = Math.ceil(fleet.instances.length / 2);
    const formers = fleet.instances.slice(0, half);
    const targets = fleet.instances.slice(half);
    const replace = (instance: SoakInstance, drainMs: number, to: string) =>
      instance.replaceBackend(drainMs, to).then((history) =>
        fleet.earlierProcesses.push(history)
      );
    const { version } = next;
    await Promise.all(
      targets.map((one) => replace(one, START_DRAIN_MS, version)),
    );
    await sleep(ANNOUNCED_MS);
    next.orderedAtMs = performance.now();
    next.limitAtMs = next.orderedAtMs + DURATION_MS;
    const order = { Service: SERVICE, TargetVersion: version };
    fleet.store.put(
      ORDER_KEY,
      JSON.stringify({ ...order, DurationS: DURATION_S }),
    );
    const state = await this.#waitForResult(fleet, next);
    const result = `rollout-${next.kind}-${state}`;
    this.results[result] = (this.results[result] ?? 0) + 1;
    this.#last = { version, state };
    switch (state) {
      case "finished":
        this.#inUse = version;
        await Promise.all(formers.map(async (one) => {
          this.#findInterrupted(one, version);
          fleet.earlierProcesses.push(await one.stopBackend(version));
        }));
        return;
      case "rolled_back":
        await Promise.all(
          targets.map((one) => replace(one, END_DRAIN_MS, this.#inUse)),
        );
        return;
      default:
        this.problems.push(`${next.description} has no result: ${state}`);
    }
  }

  async #waitForResult(fleet: Fleet, next: SoakVersion): Promise<string> {
    for (;;) {
      const state = readState(fleet, next.version);
      const isLate = performance.now() > next.limitAtMs + RESULT_MS;
      if (state === "finished" || state === "rolled_back" || isLate) {
        return state;
      }
      await sleep(POLL_MS);
    }
  }

  /** A former backend server stops at once: nothing may be interrupted. */
  #findInterrupted({ name, backend }: SoakInstance, version: string): void {
    const interrupted = backend.runs.filter(({ end, path }) =>
      end === RunEnd.None && isOrder(path)
    );
    for (const { id } of interrupted) {
      this.problems.push(`${id} ran at ${name} as ${version} was finished`);
    }
  }
}

function readState(fleet: Fleet, version: string): string {
  const text = fleet.store.get(STATUS_KEY) ?? "{}";
  const { TargetVersion, State } = JSON.parse(text) as {
    TargetVersion?: string;
    State?: string;
  };
  return TargetVersion === version ? State ?? "" : "";
}

function createVersion(
  version: string,
  isBad: boolean,
  random: Random,
): SoakVersion {
  const kind = random.pick([VersionKind.Failing, VersionKind.Slow])!;
  const percent = 30 + random.below(71);
  const badAfterMs = random.pick([0, LATE_MS])!;
  const isOnOneRoute = random.below(3) === 0;
  const isUnderLoad = random.below(3) === 0;
  const details = [
    `${kind} ${percent} in 100 from ${badAfterMs} ms`,
    isOnOneRoute ? "orders only" : "all routes",
    isUnderLoad ? "under load" : "any load",
  ];
  const created: SoakVersion = {
    version,
    description: `${version} (${isBad ? details.join(", ") : "good"})`,
    isBad,
    kind: isBad ? kind : VersionKind.Good,
    badRuns: new Set(),
    orderedAtMs: Infinity,
    limitAtMs: Infinity,
    isBadRun: ({ id, path, atMs }, earlier) =>
      isBad && atMs >= created.orderedAtMs + badAfterMs &&
      (!isOnOneRoute || isOrder(path)) &&
      (!isUnderLoad || isLoaded(earlier, atMs)) &&
      hash32(id) % 100 < percent,
  };
  return created;
}

function isLoaded(earlier: readonly BackendRun[], atMs: number): boolean {
  const first = earlier.at(-LOAD_PER_S);
  return first !== undefined && first.atMs > atMs - MS_PER_S;
}

function isOrder(path: string): boolean {
  return path.startsWith("/orders/");
}

function pickWorkMs(id: string): number {
  const hash = hash32(id);
  return hash % LONG_WORK_EVERY === 0 ? LONG_WORK_MS : 5 + hash % WORK_RANGE_MS;
}
