import { isJsonObject, type Json } from "../../protocol/canonical_json.ts";

/**
 * Applies a JSON merge patch (RFC 7396) to a value.
 *
 * @param target The value.
 * @param patch Fields to set; `null` removes a field.
 * @returns The patched value; the arguments are not modified.
 *
 * @example
 * ```ts
 * mergePatch({ a: 1, b: 2 }, { b: null }); // { a: 1 }
 * ```
 */
export function mergePatch(target: Json | undefined, patch: Json): Json {
  if (!isJsonObject(patch)) return patch;
  const result: Record<string, Json> = isJsonObject(target)
    ? { ...target }
    : {};
  for (const [key, value] of Object.entries(patch)) {
    if (value === null) {
      delete result[key];
    } else {
      result[key] = mergePatch(result[key], value);
    }
  }
  return result;
}
