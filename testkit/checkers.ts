import type { Execution } from "../fakes/backend_server.ts";
import type { CallResponse } from "./caller.ts";

/** An adoption as a daemon logged it. */
export interface Adoption {
  readonly instance: string;
  readonly version: number;
  readonly digest: string;
  readonly atMs: number;
}

/** A call, its response and what the caller expected. */
export interface CallRecord {
  readonly answer: CallResponse;
  readonly path: string;
  readonly sentAtMs: number;
  /** Expected body of the response, if it is known. */
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
 * @param adoptions Adoptions in log order for each instance, across restarts.
 * @returns One line for each violation.
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
 * Checks that each adopted version has the digest that was accepted.
 *
 * @param adoptions Adoptions of all daemons.
 * @param accepted Digests of the accepted versions.
 * @returns One line for each violation.
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
 * Checks that the requests of each idempotency key ran at most once.
 *
 * @param executions Requests that the backend servers ran.
 * @returns One line for each violation.
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
 * Checks that no call with the outcome "not-run" ran.
 *
 * @param calls Calls with their responses.
 * @param executions Requests that the backend servers ran.
 * @returns One line for each violation.
 */
export function checkNotRun(
  calls: readonly CallRecord[],
  executions: readonly Execution[],
): string[] {
  // An execution has the id of the attempt: the request's id, ".", a number.
  const executedIds = new Set(
    executions.map(({ id }) => id.slice(0, id.lastIndexOf("."))),
  );
  return calls.filter(({ answer }) => answer.outcome === "not-run")
    .filter(({ answer }) => executedIds.has(answer.requestId))
    .map(({ answer }) => `${answer.requestId} was "not run" but ran`);
}

/**
 * Checks that each served call got its own complete response.
 *
 * @param calls Calls with their responses.
 * @returns One line for each violation.
 */
export function checkResponseBodies(calls: readonly CallRecord[]): string[] {
  return calls.filter(({ answer, expected }) =>
    answer.status === 200 && expected !== undefined && answer.body !== expected
  ).map(({ path, answer }) =>
    `${path} got the response "${answer.body.slice(0, 40)}"`
  );
}

/**
 * Checks that a graceful shutdown interrupted no request.
 *
 * @param calls Calls with their responses.
 * @returns One line for each violation.
 */
export function checkNoInterruptions(calls: readonly CallRecord[]): string[] {
  return calls.filter(({ answer }) =>
    answer.status === 0 || answer.outcome === "unknown"
  ).map(({ path, answer }) =>
    `${path} ended with ${answer.status} ${answer.reason}`
  );
}

/**
 * Checks that a leaving backend server got no requests after a grace period.
 *
 * @param dispatches Dispatches of all daemons.
 * @param leaving Id of the leaving member and time at which it began to leave.
 * @param graceMs Time within which all daemons must know that it leaves, in ms.
 * @returns One line for each violation.
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
      `${leaving.id} got a request ${atMs - leaving.sinceMs} ms after it left`
    );
}

/**
 * Checks that every dispatch went to a member of its service.
 *
 * @param dispatches Dispatches of all daemons.
 * @param services Service of each current and former member, by id.
 * @returns One line for each violation.
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
 * Checks that all instances adopted a version, or a newer one, in time.
 *
 * @param adoptions Adoptions of all daemons.
 * @param accepted Version and time of its acceptance.
 * @param expected Instances and the maximum delay of the adoption, in ms.
 * @returns One line for each violation.
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
      return [`${instance} never adopted version ${accepted.version}`];
    }
    const delayMs = first.atMs - accepted.atMs;
    return delayMs <= expected.withinMs
      ? []
      : [`${instance} adopted version ${accepted.version} after ${delayMs} ms`];
  });
}
