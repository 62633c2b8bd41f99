import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** A request's body, or the reason why it is incomplete. */
export type BodyRead =
  | { readonly kind: "whole"; readonly body: Buffer | undefined }
  | { readonly kind: "too-large" }
  | { readonly kind: "broken" };

/**
 * Reads the whole body of a request.
 *
 * @param request The request.
 * @param maxBytes Largest accepted body, in bytes.
 * @returns The body, `undefined` if the request has none; never rejects.
 *
 * @example
 * ```ts ignore
 * const read = await readBody(request, 1024 * 1024);
 * ```
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<BodyRead> {
  const { "content-length": length, "transfer-encoding": coding } =
    request.headers;
  if (coding === undefined && (length === undefined || length === "0")) {
    request.resume();
    return Promise.resolve({ kind: "whole", body: undefined });
  }
  if (Number(length) > maxBytes) return Promise.resolve({ kind: "too-large" });
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) resolve({ kind: "too-large" });
      else chunks.push(chunk);
    });
    request.on("end", () => {
      resolve({ kind: "whole", body: Buffer.concat(chunks) });
    });
    request.on("error", () => resolve({ kind: "broken" }));
    request.on("close", () => resolve({ kind: "broken" }));
  });
}
