import { LifoConnectionPool } from "../transport/http/lifo_connection_pool.ts";

/** Timeout of a health check, in ms. */
const PROBE_TIMEOUT_MS = 1_000;

/** Options of {@linkcode probeBackend}. */
export interface ProbeOptions {
  readonly address: string;
  readonly healthPath: string;
  /** Id of the expected backend process. */
  readonly backendId: string;
  /** Lower-case name of the header with the id of the backend process. */
  readonly idHeader: string;
}

/**
 * Checks whether a backend server runs as the expected process and is healthy.
 *
 * @param options Address, path and expected id.
 * @returns Whether it is; never rejects.
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
    deadlineMs: performance.now() + PROBE_TIMEOUT_MS,
  });
  connections.close();
  if (result.kind === "failed" || result.status !== 200) return false;
  return result.headers.some((field, index) =>
    index % 2 === 0 && field.toLowerCase() === options.idHeader &&
    result.headers[index + 1] === options.backendId
  );
}
