import { gunzipSync } from "node:zlib";
import type { MeshCall } from "../protocol/mesh_call.ts";
import { formatCall } from "../protocol/peer_call.ts";

/** Largest decompressed configuration, in bytes. */
const MAX_CONFIG_BYTES = 16 * 1024 * 1024;

/**
 * Decompresses a configuration that another daemon has sent.
 *
 * @param headers Alternating names and values of the response.
 * @param body Body of the response.
 * @returns The configuration; `undefined` if it cannot be decompressed.
 *
 * @example
 * ```ts ignore
 * const bytes = decompressConfig(result.headers, result.body);
 * ```
 */
export function decompressConfig(
  headers: readonly string[],
  body: Uint8Array,
): Uint8Array | undefined {
  const isCompressed = headers.some((field, index) =>
    index % 2 === 0 && field.toLowerCase() === "content-encoding"
  );
  try {
    return isCompressed
      ? gunzipSync(body, { maxOutputLength: MAX_CONFIG_BYTES })
      : body;
  } catch {
    // Truncated or too large: the configuration also comes from the store.
    return undefined;
  }
}

/**
 * Describes a call to another daemon, with times relative to now.
 *
 * @param call The call.
 * @param configVersion Newest configuration version that this daemon knows.
 * @returns The value of the header that describes it.
 *
 * @example
 * ```ts ignore
 * const description = describeCall(call, routes.version);
 * ```
 */
export function describeCall(call: MeshCall, configVersion: number): string {
  const nowMs = performance.now();
  return formatCall({
    ...call,
    remainingMs: call.deadlineMs - nowMs,
    objectiveInMs: call.objectiveAtMs - nowMs,
    configVersion,
  });
}
