import { LifoConnectionPool } from "../transport/http/lifo_connection_pool.ts";

/** Time in which a health check must be answered, in ms. */
const PROBE_TIMEOUT_MS = 1_000;

/** What to ask, and whom to expect. */
export interface ProbeOptions {
  readonly address: string;
  readonly healthPath: string;
  /** Id of the life that is expected. */
  readonly backendId: string;
  /** Lower-case name of the header that names the life. */
  readonly idHeader: string;
}

/**
 * Asks a backend server whether it is the expected one and takes work.
 *
 * @param options Address, path and expected id.
 * @returns Whether it does; never rejects.
 *
 * @example
 * ```ts ignore
 * const takesWork = await probeBackend(options);
 * ```
 */
export async function probeBackend(options: ProbeOptions): Promise<boolean> {
  const connections = new LifoConnectionPool(options.address);
  const result = await connections.send({
    method: "GET",
    path: options.healthPath,
    headers: [],
    body: undefined,
  }, AbortSignal.timeout(PROBE_TIMEOUT_MS));
  connections.close();
  if (result.kind === "failed" || result.status !== 200) return false;
  return result.headers.some((field, index) =>
    index % 2 === 0 && field.toLowerCase() === options.idHeader &&
    result.headers[index + 1] === options.backendId
  );
}
