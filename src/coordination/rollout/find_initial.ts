import type { BackendRecord } from "../../protocol/mesh.ts";

/**
 * Age of a backend process that is new while others of its service are older,
 * in ms: its version may wait for an order.
 */
const NEW_PROCESS_MS = 20_000;
/**
 * Finds the backend servers whose versions are in use as far as a daemon can
 * tell that has just started and knows of no decision.
 *
 * @param records All backend servers.
 * @param nowUnixMs Unix time, in ms.
 * @returns Those that are not new, and all of a service that is new as a whole.
 *
 * @example
 * ```ts
 * findInitial([], 0); // []
 * ```
 */
export function findInitial(
  records: readonly BackendRecord[],
  nowUnixMs: number,
): readonly BackendRecord[] {
  const isOld = ({ bornAtUnixMs }: BackendRecord) =>
    bornAtUnixMs < nowUnixMs - NEW_PROCESS_MS;
  const withOld = new Set(records.filter(isOld).map(({ service }) => service));
  return records.filter((record) =>
    isOld(record) || !withOld.has(record.service)
  );
}
