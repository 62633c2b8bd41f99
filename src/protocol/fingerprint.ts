import type { Buffer } from "node:buffer";
import { hash } from "node:crypto";

/** Longest description of a request, in characters. */
const MAX_DESCRIPTION_LENGTH = 200;

/** The parts of a request that make up what it asks for. */
export interface RequestContent {
  readonly method: string;
  /** Path with the query. */
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
}

/**
 * Computes the fingerprint of a request: equal for requests with the same
 * method, host, path and body, whoever sends them.
 *
 * @param request The request.
 * @returns The fingerprint, as 27 characters of base64url.
 *
 * @example
 * ```ts
 * const request = { method: "GET", path: "/a", headers: [], body: undefined };
 * fingerprintOf(request) === fingerprintOf({ ...request }); // true
 * ```
 */
export function fingerprintOf(request: RequestContent): string {
  const { method, path, headers, body } = request;
  const head = JSON.stringify([method, findHost(headers), path]);
  const content = body === undefined || body.length === 0
    ? head
    : head + hash("sha1", body, "base64url");
  return hash("sha1", content, "base64url");
}

/**
 * Describes a request for the log by its method, host and path.
 *
 * @param request The request.
 * @returns The description, cut to 200 characters.
 *
 * @example
 * ```ts
 * const headers = ["host", "shop.example"];
 * describeRequest({ method: "GET", path: "/a", headers, body: undefined });
 * // "GET shop.example/a"
 * ```
 */
export function describeRequest(request: RequestContent): string {
  const { method, path, headers } = request;
  return `${method} ${findHost(headers)}${path}`.slice(
    0,
    MAX_DESCRIPTION_LENGTH,
  );
}

function findHost(headers: readonly string[]): string {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === "host") return headers[index + 1]!;
  }
  return "";
}
