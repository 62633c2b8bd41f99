import { hash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { Delivery } from "../protocol/config_schema.ts";
import type { ResolvedRoute } from "../state/config_snapshot.ts";

/** Longest fingerprint that is kept as plain text, in characters. */
const MAX_PLAIN_FINGERPRINT_LENGTH = 160;

/** Digests that identify a request. */
export interface RequestDigests {
  /** Equal for requests with the same content. */
  readonly fingerprint: string;
  /** Digest of the content; may be empty where no claim needs it. */
  readonly contentDigest: string;
}

/**
 * Computes the digests of a request. A body that is not buffered counts only
 * with its size.
 *
 * @param request The request.
 * @param route Its route.
 * @param body Its body, if it was read whole.
 * @returns The digests.
 *
 * @example
 * ```ts ignore
 * const { fingerprint } = digestRequest(request, route, body);
 * ```
 */
export function digestRequest(
  request: IncomingMessage,
  route: ResolvedRoute,
  body: Uint8Array | undefined,
): RequestDigests {
  const size = body?.length ?? request.headers["content-length"] ?? "?";
  const head = `${route.serviceName} ${request.method} ${request.url} ${size}`;
  const hasBody = body !== undefined && body.length > 0;
  const isClaimed = route.service.delivery === Delivery.AtMostOnce;
  const isShort = head.length <= MAX_PLAIN_FINGERPRINT_LENGTH && !hasBody;
  if (isShort && !isClaimed) return { fingerprint: head, contentDigest: "" };
  const content = hasBody ? head + hash("sha1", body, "base64url") : head;
  const contentDigest = hash("sha1", content, "base64url");
  return { fingerprint: contentDigest, contentDigest };
}
