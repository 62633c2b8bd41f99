import type { Execution } from "../fakes/backend_server.ts";
import type { CallResponse } from "./caller.ts";

/** An adoption as a daemon logged it. */
export interface Adoption {
  readonly instance: string;
  readonly version: number;
  readonly digest: string;
  readonly atMs: number;
}

/** A call with what the caller knows of it. */
export interface CallRecord {
  readonly answer: CallResponse;
  readonly path: string;
  readonly sentAtMs: number;
  /** Body that the caller expects, where it can tell. */
  readonly expected?: string;
  readonly key?: string;
}

/** A dispatch as a daemon logged it. */
export interface Dispatch {
  readonly backend: string;
  readonly service: string;
  readonly atMs: number;
}

/**
 * Checks that no instance went back to an older version.
 *
 * @param adoptions Adoptions in the order of each instance's log, restarts
 * included.
 * @returns What broke the promise.
 */
export function checkVersionsMonotonic(
  adoptions: readonly Adoption[],
): string[] {
  const latest = new Map<string, number>();
  return adoptions.flatMap(({ instance, version }) => {
    const known = latest.get(instance) ?? 0;
    latest.set(instance, Math.max(known, version));
    return version < known
      ? [`${instance} went from version ${known} to ${version}`]
      : [];
  });
}

/**
 * Checks that a version means the same everywhere, and was accepted.
 *
 * @param adoptions Adoptions of all daemons.
 * @param accepted Digests of the accepted versions.
 * @returns What broke the promise.
 */
export function checkAcceptedDigests(
  adoptions: readonly Adoption[],
  accepted: ReadonlyMap<number, string>,
): string[] {
  return adoptions.flatMap(({ instance, version, digest }) =>
    accepted.get(version) === digest
      ? []
      : [`${instance} adopted ${version} with digest ${digest}`]
  );
}

/**
 * Checks that no key ran more than once.
 *
 * @param executions What the backend servers ran.
 * @returns What broke the promise.
 */
export function checkAtMostOnce(executions: readonly Execution[]): string[] {
  const runs = new Map<string, number>();
  for (const { key } of executions) {
    if (key !== "") runs.set(key, (runs.get(key) ?? 0) + 1);
  }
  return [...runs].filter(([, count]) => count > 1)
    .map(([key, count]) => `${key} ran ${count} times`);
}

/**
 * Checks that no call that was answered "not run" ran.
 *
 * @param calls What the callers saw.
 * @param executions What the backend servers ran.
 * @returns What broke the promise.
 */
export function checkNotRun(
  calls: readonly CallRecord[],
  executions: readonly Execution[],
): string[] {
  // An execution carries the attempt's id: the request's with a number behind.
  const ran = new Set(
    executions.map(({ id }) => id.slice(0, id.lastIndexOf("."))),
  );
  return calls.filter(({ answer }) => answer.outcome === "not-run")
    .filter(({ answer }) => ran.has(answer.requestId))
    .map(({ answer }) => `${answer.requestId} was "not run" but ran`);
}

/**
 * Checks that each answer is whole and the caller's own.
 *
 * @param calls What the callers saw.
 * @returns What broke the promise.
 */
export function checkResponseBodies(calls: readonly CallRecord[]): string[] {
  return calls.filter(({ answer, expected }) =>
    answer.status === 200 && expected !== undefined && answer.body !== expected
  ).map(({ path, answer }) =>
    `${path} was answered "${answer.body.slice(0, 40)}"`
  );
}

/**
 * Checks that a planned stop cut no request.
 *
 * @param calls What the callers saw.
 * @returns What broke the promise.
 */
export function checkNoInterruptions(calls: readonly CallRecord[]): string[] {
  return calls.filter(({ answer }) =>
    answer.status === 0 || answer.outcome === "unknown"
  ).map(({ path, answer }) =>
    `${path} ended with ${answer.status} ${answer.reason}`
  );
}

/**
 * Checks that a leaving backend server got no new work after a while.
 *
 * @param dispatches Dispatches of all daemons.
 * @param leaving Member that leaves, from when on.
 * @param graceMs Time that the news may take.
 * @returns What broke the promise.
 */
export function checkNoDispatchesAfterLeaving(
  dispatches: readonly Dispatch[],
  leaving: { readonly id: string; readonly sinceMs: number },
  graceMs: number,
): string[] {
  return dispatches
    .filter(({ backend }) => backend === leaving.id)
    .filter(({ atMs }) => atMs > leaving.sinceMs + graceMs)
    .map(({ atMs }) =>
      `${leaving.id} got work ${atMs - leaving.sinceMs} ms after it left`
    );
}

/**
 * Checks that every dispatch went to a member of its service.
 *
 * @param dispatches Dispatches of all daemons.
 * @param services Service of each member that there was.
 * @returns What broke the promise.
 */
export function checkDispatchTargets(
  dispatches: readonly Dispatch[],
  services: ReadonlyMap<string, string>,
): string[] {
  return dispatches
    .filter(({ backend, service }) => services.get(backend) !== service)
    .map(({ backend, service }) =>
      `a call of ${service} was sent to ${backend} of ${
        services.get(backend) ?? "none"
      }`
    );
}

/**
 * Checks that a version came into force everywhere in time and stayed.
 *
 * @param adoptions Adoptions of all daemons.
 * @param accepted Version and time of its acceptance.
 * @param expected Instances and the time that the version may take.
 * @returns What broke the promise.
 */
export function checkAdoptionDelays(
  adoptions: readonly Adoption[],
  accepted: { readonly version: number; readonly atMs: number },
  expected: {
    readonly instances: readonly string[];
    readonly withinMs: number;
  },
): string[] {
  return expected.instances.flatMap((instance) => {
    const first = adoptions.find((one) =>
      one.instance === instance && one.version >= accepted.version
    );
    if (first === undefined) {
      return [`${instance} never held version ${accepted.version}`];
    }
    const delayMs = first.atMs - accepted.atMs;
    return delayMs <= expected.withinMs
      ? []
      : [`${instance} held version ${accepted.version} after ${delayMs} ms`];
  });
}
