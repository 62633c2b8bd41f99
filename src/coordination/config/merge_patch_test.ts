import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { canonicalJson, type Json } from "../../protocol/canonical_json.ts";
import { mergePatch } from "./merge_patch.ts";

/** Reference implementation that applies a patch one key at a time. */
function referenceMergePatch(target: Json | undefined, patch: Json): Json {
  if (patch === null || typeof patch !== "object" || Array.isArray(patch)) {
    return patch;
  }
  const isMap = typeof target === "object" && target !== null &&
    !Array.isArray(target);
  const result = new Map(Object.entries(isMap ? target : {}));
  for (const key of Object.keys(patch)) {
    if (patch[key] === null) result.delete(key);
    else result.set(key, referenceMergePatch(result.get(key), patch[key]!));
  }
  return Object.fromEntries(result);
}

const KEY = fc.constantFrom("a", "b", "c");
const VALUE = fc.letrec<{ json: Json }>((tie) => ({
  json: fc.oneof(
    { depthSize: "small" },
    fc.constantFrom<Json>(null, 1, "x", true),
    fc.array(tie("json"), { maxLength: 2 }),
    fc.dictionary(KEY, tie("json"), { maxKeys: 3 }),
  ),
})).json;

test("mergePatch() agrees with a reference implementation for any documents", () => {
  fc.assert(
    fc.property(VALUE, VALUE, (target, patch) => {
      const merged = canonicalJson(mergePatch(target, patch));
      assert.is(merged, canonicalJson(referenceMergePatch(target, patch)));
    }),
    { seed: 1, numRuns: 300 },
  );
});

test("mergePatch() agrees with the examples of RFC 7396", () => {
  const cases: [Json, Json][] = [
    [{ a: "b" }, { a: "c" }],
    [{ a: "b", b: "c" }, { a: null }],
    [{ a: ["b"] }, { a: "c" }],
    [{ a: { b: "c" } }, { a: { b: "d", c: null } }],
    [["a"], { b: "c" }],
    [{ e: null }, { a: 1 }],
  ];
  assert.snapshot(
    cases.map(([target, patch]) => canonicalJson(mergePatch(target, patch)))
      .join("\n"),
    `{"a":"c"}
{"b":"c"}
{"a":"c"}
{"a":{"b":"d"}}
{"b":"c"}
{"a":1,"e":null}`,
  );
});

test.run();
