import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { formatApiPage, listApi } from "../tools/api_page.ts";

test("every export of the library has a comment that is a sentence", () => {
  const undocumented = listApi().filter(({ summary }) =>
    !/[.;]$/.test(summary)
  );
  assert.equal(undocumented.map(({ file, name }) => `${file} ${name}`), []);
});

test("the library page is made from the comments as they stand", () => {
  const collapseSpaces = (text: string) => text.split(/\s+/).join(" ").trim();
  const page = readFileSync("docs/API.md", "utf8");
  const isCurrent =
    collapseSpaces(page) === collapseSpaces(formatApiPage(listApi()));
  assert.ok(isCurrent, "run npm run docs");
});

test.run();
