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

// Guards against a position that is one line or column off at the ends of lines.
test("positions count lines and columns from 1", () => {
  const text = '\n{"a": 1,\r\n\n"b": 2,\n  "c": 3\n}\n';
  const document = SourceDocument.parse("a", text);
  const positions = [[], ["a"], ["b"], ["c"]].map((path) => {
    const { line, column } = document.problemAt(path, "");
    return [line, column];
  });
  assert.equal(positions, [[2, 1], [2, 2], [4, 1], [5, 3]]);
  const end = SourceDocument.parse("a", '{\n"a": 1\n').problems[0]!;
  assert.equal([end.line, end.column], [3, 1]);
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
