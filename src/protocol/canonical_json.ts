import { createHash } from "node:crypto";

/** A JSON value. */
export type Json =
  | null
  | boolean
  | number
  | string
  | Json[]
  | { [key: string]: Json };

/**
 * Returns whether a value is a JSON object.
 *
 * @param value The value; `undefined` if it is absent.
 * @returns Whether it is an object and not an array or `null`.
 *
 * @example
 * ```ts
 * isJsonObject([]); // false
 * ```
 */
export function isJsonObject(
  value: Json | undefined,
): value is { [key: string]: Json } {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/**
 * Serializes a value as JSON with sorted keys and no white space.
 *
 * @param value The value.
 * @returns The same text for equal values.
 *
 * @example
 * ```ts
 * canonicalJson({ b: 1, a: 2 }); // '{"a":2,"b":1}'
 * ```
 */
export function canonicalJson(value: Json): string {
  if (Array.isArray(value)) {
    return `[${value.map((item) => canonicalJson(item)).join(",")}]`;
  }
  if (value !== null && typeof value === "object") {
    const fields = Object.keys(value).sort()
      .map((key) => `${JSON.stringify(key)}:${canonicalJson(value[key]!)}`);
    return `{${fields.join(",")}}`;
  }
  return JSON.stringify(value);
}

/**
 * Returns the SHA-256 digest of a text in hexadecimal.
 *
 * @param text The text or bytes.
 * @returns 64 hexadecimal digits.
 *
 * @example
 * ```ts
 * sha256Hex("").slice(0, 8); // "e3b0c442"
 * ```
 */
export function sha256Hex(text: string | Uint8Array): string {
  return createHash("sha256").update(text).digest("hex");
}
