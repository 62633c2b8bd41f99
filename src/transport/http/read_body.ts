import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { ByteCollector } from "./byte_collector.ts";
import { timerDelayMs } from "../../protocol/limits.ts";
import {
  type HeldBytes,
  MAX_SHORT_BODY_BYTES,
  PROCESS_BYTES,
} from "./held_bytes.ts";
import { PieceCounter } from "./body_pieces.ts";

/** Why a body was refused although it is within the limit. */
export enum BodyRefusal {
  /** The bytes that the daemon may hold are taken. */
  NoMemory = "no-memory",
  /** It made no progress, and its place was needed. */
  Stalled = "stalled",
  /** It came in pieces of a few bytes, each of which takes processor time. */
  Fragmented = "fragmented",
}

/** A request's body, or the reason why it is incomplete. */
export type BodyRead =
  | {
    readonly kind: "whole";
    readonly body: Buffer | undefined;
    /** Releases the memory of the body; has to be called once. */
    readonly release: () => void;
  }
  | { readonly kind: "too-large" }
  /** The deadline passed before the whole body had come. */
  | { readonly kind: "late" }
  | { readonly kind: "broken" }
  | { readonly kind: "refused"; readonly refusal: BodyRefusal };

/** How a body is read. */
export interface ReadBodyOptions {
  /** Largest accepted body, in bytes. */
  readonly maxBytes: number;
  /** Monotonic time until which the body has to come. */
  readonly deadlineMs: number;
  /** Organisation of the sender; its address by default. */
  readonly owner?: string | undefined;
  /** Account of the held bytes; that of the process by default. */
  readonly account?: HeldBytes;
}

const NOTHING_HELD = () => {};
const NO_BODY: BodyRead = {
  kind: "whole",
  body: undefined,
  release: NOTHING_HELD,
};

/**
 * Reads the whole body of a request.
 *
 * The caller answers a body that is not whole and closes the connection with
 * `refuseFurtherBytes`.
 *
 * @param request The request.
 * @param options Limits of the body.
 * @returns The body, `undefined` if the request has none; never rejects.
 *
 * @example
 * ```ts ignore
 * const read = await readBody(request, { maxBytes: 1024 * 1024, deadlineMs });
 * ```
 */
export function readBody(
  request: IncomingMessage,
  options: ReadBodyOptions,
): Promise<BodyRead> {
  const { "content-length": length, "transfer-encoding": coding } =
    request.headers;
  if (coding === undefined && (length === undefined || length === "0")) {
    request.resume();
    return Promise.resolve(NO_BODY);
  }
  const { maxBytes, account = PROCESS_BYTES } = options;
  // A length beside a transfer coding has no meaning.
  const lengthBytes = coding === undefined ? Number(length) : undefined;
  if (lengthBytes !== undefined && lengthBytes > maxBytes) {
    return Promise.resolve({ kind: "too-large" });
  }
  return new Promise((resolve) => {
    const hold = account.open(
      options.owner ?? request.socket.remoteAddress ?? "",
      () => settle({ kind: "refused", refusal: BodyRefusal.Stalled }),
    );
    if (lengthBytes !== undefined && !hold.take(lengthBytes)) {
      hold.end();
      return resolve({ kind: "refused", refusal: BodyRefusal.NoMemory });
    }
    const bytes = new ByteCollector(
      lengthBytes !== undefined && lengthBytes > MAX_SHORT_BODY_BYTES
        ? lengthBytes
        : undefined,
    );
    const counter = new PieceCounter(request);
    const onData = (chunk: Buffer) => {
      const sizeBytes = bytes.sizeBytes + chunk.length;
      const isTaken = lengthBytes !== undefined || hold.take(chunk.length);
      if (sizeBytes > maxBytes) return settle({ kind: "too-large" });
      if (!isTaken) {
        return settle({ kind: "refused", refusal: BodyRefusal.NoMemory });
      }
      if (!counter.add(chunk.length)) {
        return settle({ kind: "refused", refusal: BodyRefusal.Fragmented });
      }
      bytes.append(chunk);
      hold.progress(chunk.length);
    };
    let isSettled = false;
    const settle = (result: BodyRead) => {
      // An error may follow the end of a body that is still in use.
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      counter.end();
      request.off("data", onData);
      request.off("end", onEnd);
      request.off("close", onBroken);
      // What still comes is read and dropped.
      request.resume();
      bytes.clear();
      if (result.kind !== "whole") hold.end();
      resolve(result);
    };
    const onEnd = () => {
      hold.complete();
      settle({ kind: "whole", body: bytes.take(), release: () => hold.end() });
    };
    const onBroken = () => settle({ kind: "broken" });
    const timer = setTimeout(
      () => settle({ kind: "late" }),
      timerDelayMs(options.deadlineMs),
    );
    request.on("data", onData);
    request.on("end", onEnd);
    request.on("error", onBroken);
    request.on("close", onBroken);
  });
}
