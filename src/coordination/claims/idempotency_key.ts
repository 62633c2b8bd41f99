import { createHash } from "node:crypto";
import { hash32 } from "../../protocol/hash.ts";
import { Reason } from "../../protocol/outcome.ts";

/** Pattern of a UUIDv7, which contains its time of issue. */
const UUID_V7 =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
/** Maximum time that a key may be issued ahead of the local clock, in ms. */
export const MAX_CLOCK_SKEW_MS = 120_000;
/** Length of a claim key, in bytes. */
const CLAIM_KEY_BYTES = 16;

/** Result of the check of a caller's idempotency key. */
export type KeyCheckResult =
  | { readonly kind: "usable" }
  | { readonly kind: "refused"; readonly reason: Reason };

/**
 * Checks a caller's idempotency key.
 *
 * The key must contain its time of issue. A key whose claim may have been
 * removed already is refused, because its request might run again.
 *
 * @param key The key, if the caller sent one.
 * @param windowMs Time for which claims are kept, in ms.
 * @param nowMs Unix time in ms.
 * @returns Whether the key may be claimed, or the reason for the refusal.
 *
 * @example
 * ```ts
 * checkKey(undefined, 900_000, 0); // refused: Reason.KeyRequired
 * ```
 */
export function checkKey(
  key: string | undefined,
  windowMs: number,
  nowMs: number,
): KeyCheckResult {
  if (key === undefined || !UUID_V7.test(key)) {
    return { kind: "refused", reason: Reason.KeyRequired };
  }
  const issuedAtMs = issueTimeMs(key);
  if (issuedAtMs > nowMs + MAX_CLOCK_SKEW_MS) {
    return { kind: "refused", reason: Reason.KeyRequired };
  }
  if (isKeyExpired(issuedAtMs, windowMs, nowMs)) {
    return { kind: "refused", reason: Reason.KeyExpired };
  }
  return { kind: "usable" };
}

/**
 * Returns whether a claim of the key may have been removed already.
 *
 * A claim is kept for the whole window from the time at which its holder wrote
 * it. The time of issue may be ahead of that by the clock skew, and the clock
 * of a later holder may differ by the skew again.
 *
 * @param issuedAtMs Time of issue in the key, in Unix ms.
 * @param windowMs Time for which claims are kept, in ms.
 * @param nowMs Unix time in ms.
 * @returns Whether the key must not be claimed any more.
 *
 * @example
 * ```ts
 * isKeyExpired(0, 900_000, 900_000); // true
 * ```
 */
export function isKeyExpired(
  issuedAtMs: number,
  windowMs: number,
  nowMs: number,
): boolean {
  return issuedAtMs < nowMs - windowMs + 2 * MAX_CLOCK_SKEW_MS;
}

/**
 * Returns the time of issue in a UUIDv7.
 *
 * @param key The UUID.
 * @returns Unix time in ms.
 *
 * @example
 * ```ts
 * issueTimeMs("018f0000-0000-7000-8000-000000000000"); // 1713668128768
 * ```
 */
export function issueTimeMs(key: string): number {
  return Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16);
}

/**
 * Builds a UUIDv7.
 *
 * @param nowMs Time of issue, in Unix ms.
 * @param randomHex At least 19 random hexadecimal digits.
 * @returns The UUID.
 *
 * @example
 * ```ts
 * uuidV7(0, "0".repeat(19)); // "00000000-0000-7000-8000-000000000000"
 * ```
 */
export function uuidV7(nowMs: number, randomHex: string): string {
  const time = Math.floor(nowMs).toString(16).padStart(12, "0");
  const variant = "89ab"[Number.parseInt(randomHex[3]!, 16) & 3];
  return [
    time.slice(0, 8),
    time.slice(8),
    `7${randomHex.slice(0, 3)}`,
    `${variant}${randomHex.slice(4, 7)}`,
    randomHex.slice(7, 19).padEnd(12, "0"),
  ].join("-");
}

/** Fields that identify a claim. */
export interface ClaimScope {
  readonly service: string;
  readonly caller: string;
  readonly key: string;
}

/**
 * Returns the digest that identifies a claim in its partition.
 *
 * @param scope Service, caller and key.
 * @returns 16 bytes.
 *
 * @example
 * ```ts
 * claimKey({ service: "order", caller: "stall", key: "k" }).length; // 16
 * ```
 */
export function claimKey(scope: ClaimScope): Uint8Array {
  const text = JSON.stringify([scope.service, scope.caller, scope.key]);
  const digest = createHash("sha256").update(text.toLowerCase()).digest();
  return digest.subarray(0, CLAIM_KEY_BYTES);
}

/**
 * Returns the partition of a claim.
 *
 * @param scope Service, caller and key.
 * @param partitions Number of partitions, the same on all daemons.
 * @returns The number of the partition, from 0.
 *
 * @example
 * ```ts
 * partitionOf({ service: "order", caller: "stall", key: "k" }, 1); // 0
 * ```
 */
export function partitionOf(scope: ClaimScope, partitions: number): number {
  return hash32(scope.key.toLowerCase()) % partitions;
}
