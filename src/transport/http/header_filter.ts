import { HEADER_PREFIX, HEADER_REPLAYED } from "../../protocol/headers.ts";

const HOP_BY_HOP = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "host",
]);

/**
 * Returns the end-to-end headers of a message.
 *
 * @param rawHeaders Alternating names and values.
 * @param alsoDrop Further lower-case names to drop.
 * @returns The headers without hop-by-hop headers and the system's own.
 *
 * @example
 * ```ts
 * endToEndHeaders(["Accept", "*", "Connection", "close"]); // ["Accept", "*"]
 * ```
 */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  alsoDrop?: ReadonlySet<string>,
): string[] {
  const kept: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!;
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || lower.startsWith(HEADER_PREFIX)) continue;
    if (alsoDrop?.has(lower)) continue;
    kept.push(name, rawHeaders[index + 1]!);
  }
  return kept;
}

/** Parsed headers of a response. */
export type ResponseHeaders = Record<string, string | string[] | undefined>;

/**
 * Returns the end-to-end headers of a response.
 *
 * @param headers Headers by lower-case name.
 * @returns A copy without hop-by-hop headers and the system's own, except for
 * the one that marks a replayed response.
 *
 * @example
 * ```ts
 * endToEndResponseHeaders({ etag: "1", connection: "close" }); // { etag: "1" }
 * ```
 */
export function endToEndResponseHeaders(
  headers: ResponseHeaders,
): ResponseHeaders {
  const kept: ResponseHeaders = {};
  for (const name in headers) {
    if (HOP_BY_HOP.has(name)) continue;
    if (name.startsWith(HEADER_PREFIX) && name !== HEADER_REPLAYED) continue;
    kept[name] = headers[name];
  }
  return kept;
}

/**
 * Returns the value of a header that occurs once.
 *
 * @param headers Headers by lower-case name.
 * @param name The lower-case name.
 * @returns The value, or `undefined`.
 *
 * @example
 * ```ts
 * singleHeader({ a: "1" }, "a"); // "1"
 * ```
 */
export function singleHeader(
  headers: ResponseHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
