import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  categoryOf,
  checkConfiguration,
  findDifferences,
  type Finding,
  FindingCategory,
  FindingKind,
  formatFinding,
  mergeSites,
} from "../src/cli/check/mod.ts";
import {
  readConfigDirectory,
  toResources,
} from "../src/cli/config_directory.ts";
import { SourceDocument } from "../src/protocol/source_document.ts";
import {
  applyDiff,
  type PageExample,
  readPageExamples,
} from "../testkit/page_examples.ts";

const DIRECTORY = "examples/association";
const SITES = ["port-of-spain", "san-fernando", "tobago"];
const FILES = ["base.jsonc", ...SITES.map((site) => `sites/${site}.jsonc`)];
const PAGE = readFileSync("docs/CHECK.md", "utf8");

/** Returns the findings and differences of an example of the page. */
function runExample(example: PageExample): Finding[] {
  const texts = Object.fromEntries(
    FILES.map((file) => [file, readFileSync(`${DIRECTORY}/${file}`, "utf8")]),
  );
  const changed = applyDiff(texts, example.diff);
  const parse = (file: string) => SourceDocument.parse(file, changed[file]!);
  const documents = {
    base: parse("base.jsonc"),
    overlays: Object.fromEntries(
      SITES.map((site) => [site, parse(`sites/${site}.jsonc`)]),
    ),
  };
  const inForce = toResources(readConfigDirectory(DIRECTORY).documents)
    .toSource();
  const { findings, views } = checkConfiguration(documents);
  const differences = views.flatMap((view) => findDifferences(inForce, view));
  return [...findings, ...mergeSites(differences)];
}

function isDifference({ kind }: Finding): boolean {
  return categoryOf(kind) === FindingCategory.Difference;
}

// Guards against a kind of finding that no configuration causes, or that the
// page leaves out.
test("the page has an example for each kind of finding", () => {
  const names = readPageExamples(PAGE).map(({ name }) => name);
  assert.equal(names, Object.values(FindingKind));
});

for (const example of readPageExamples(PAGE)) {
  test(`the page shows what its example of ${example.name} causes`, () => {
    const findings = runExample(example);
    const lines = findings.filter(({ kind }) => kind === example.name)
      .map(formatFinding);
    assert.is(lines.join("\n"), example.text);
    // An example shows one fault, so that the page does not hide others.
    const others = findings.filter((finding) =>
      finding.kind !== example.name && !isDifference(finding)
    );
    assert.equal(others, []);
  });
}

test("the unchanged examples have no findings and no differences", () => {
  for (const directory of [DIRECTORY, "examples/sewersight"]) {
    const { documents } = readConfigDirectory(directory);
    const { findings, views } = checkConfiguration(documents);
    const inForce = toResources(documents).toSource();
    assert.equal(findings, []);
    assert.equal(views.flatMap((view) => findDifferences(inForce, view)), []);
  }
});

test.run();
