import { rendezvous } from "../protocol/hash.ts";
import type { BackendRecord } from "../protocol/mesh.ts";

/**
 * Time after which another destination has the trials of a request, in ms, as
 * the backend server of the former one may be gone for good.
 */
const TRIAL_PERIOD_MS = 10_000;

/**
 * Chooses the only backend server that runs a request that may be fatal: for a
 * time, all daemons choose the same one.
 *
 * @param records The backend servers.
 * @param fingerprint Fingerprint of the request.
 * @returns The chosen one, if there is one.
 *
 * @example
 * ```ts
 * chooseTrialBackend([], "f"); // []
 * ```
 */
export function chooseTrialBackend(
  records: readonly BackendRecord[],
  fingerprint: string,
): readonly BackendRecord[] {
  const ids = records.map(({ instance }) => instance);
  const period = Math.floor(Date.now() / TRIAL_PERIOD_MS);
  const [chosen] = rendezvous(`${fingerprint}@${period}`, ids, 1);
  return records.filter(({ instance }) => instance === chosen);
}
