import { test } from "uvu";
import * as assert from "uvu/assert";
import { SourceDocument, SourceError } from "./source_document.ts";

// Guards against problems that a reader can find by line, but not by path.
test("a syntax error, a duplicate key and a problem carry their path", () => {
  const syntax = SourceDocument.parse("a", '{ "a": { "b": ] } }').problems[0]!;
  const duplicate =
    SourceDocument.parse("a", '{ "a": [{ "b": 1,\n"b": 2 }] }').problems;
  const document = SourceDocument.parse("a", '{ "a": { "b": null } }');
  assert.equal(syntax.path, ["a", "b"]);
  assert.equal(duplicate, [{
    file: "a",
    line: 2,
    column: 1,
    path: ["a", 0, "b"],
    message: 'duplicate key "b"',
  }]);
  const problem = document.problemAt(["a", "c"], "absent");
  assert.equal([problem.column, problem.path], [3, ["a", "c"]]);
  assert.equal(
    [document.has(["a", "b"]), document.has(["a", "c"])],
    [true, false],
  );
});

test("a file that cannot be read is named by the error", () => {
  try {
    SourceDocument.read("/nonexistent/base.jsonc");
    assert.unreachable();
  } catch (error) {
    assert.instance(error, SourceError);
    assert.is((error as SourceError).file, "/nonexistent/base.jsonc");
  }
});

test.run();
