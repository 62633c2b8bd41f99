import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { ByteCollector } from "./byte_collector.ts";
import { timerDelayMs } from "../../protocol/limits.ts";

/** A request's body, or the reason why it is incomplete. */
export type BodyRead =
  | { readonly kind: "whole"; readonly body: Buffer | undefined }
  | { readonly kind: "too-large" }
  /** The deadline passed before the whole body had come. */
  | { readonly kind: "late" }
  | { readonly kind: "broken" };

/**
 * Reads the whole body of a request.
 *
 * @param request The request.
 * @param maxBytes Largest accepted body, in bytes.
 * @param deadlineMs Monotonic time until which the body has to come.
 * @returns The body, `undefined` if the request has none; never rejects.
 *
 * @example
 * ```ts ignore
 * const read = await readBody(request, 1024 * 1024, deadlineMs);
 * ```
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  deadlineMs: number,
): Promise<BodyRead> {
  const { "content-length": length, "transfer-encoding": coding } =
    request.headers;
  if (coding === undefined && (length === undefined || length === "0")) {
    request.resume();
    return Promise.resolve({ kind: "whole", body: undefined });
  }
  if (Number(length) > maxBytes) return Promise.resolve({ kind: "too-large" });
  return new Promise((resolve) => {
    const bytes = new ByteCollector();
    const onData = (chunk: Buffer) => {
      bytes.append(chunk);
      if (bytes.sizeBytes > maxBytes) settle({ kind: "too-large" });
    };
    const settle = (result: BodyRead) => {
      clearTimeout(timer);
      // What still comes is read and dropped.
      request.off("data", onData);
      request.resume();
      bytes.clear();
      resolve(result);
    };
    const timer = setTimeout(
      () => settle({ kind: "late" }),
      timerDelayMs(deadlineMs),
    );
    request.on("data", onData);
    request.on("end", () => {
      settle({ kind: "whole", body: bytes.take() });
    });
    request.on("error", () => settle({ kind: "broken" }));
    request.on("close", () => settle({ kind: "broken" }));
  });
}
