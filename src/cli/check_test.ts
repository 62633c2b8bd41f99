import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { StoreServer } from "../../fakes/store_server.ts";
import { acceptChange } from "../coordination/config/accept_change.ts";
import { readHead } from "../coordination/config/version_records.ts";
import { EtcdStore } from "../transport/store/etcd_store.ts";
import { check } from "./check.ts";
import { readConfigDirectory, toResources } from "./config_directory.ts";
import { CheckExitCode } from "./exit_code.ts";
import type { Output } from "./output.ts";

const FOLDER = mkdtempSync(join(tmpdir(), "sesamepond-check-"));
const OPERATOR_FILE = join(FOLDER, "operator.jsonc");
const ASSOCIATION = "examples/association";

let server: StoreServer;
let store: EtcdStore;

/** Report as JSON, with the fields that the tests read. */
interface JsonReport {
  status: string;
  sites: string[];
  comparedVersion: number | null;
  findings: {
    category: string;
    kind: string;
    file: string;
    line: number;
    path: string;
    sites: string[];
    message?: string;
  }[];
  unreadable: { file: string; line: number; path: string; message: string }[];
}

/** Runs the check with both forms of output. */
async function runCheck(directory: string, operatorFile?: string) {
  const lines: string[] = [];
  const errors: string[] = [];
  let report: JsonReport | undefined;
  const output: Output = {
    isJson: true,
    line: (text) => void lines.push(text),
    error: (text) => void errors.push(text),
    json: (value) => {
      report = JSON.parse(JSON.stringify(value)) as JsonReport;
    },
  };
  const code = await check(directory, output, { operatorFile });
  return { code, lines, errors, report: report! };
}

/** Copies the example and changes it; returns the copy's path. */
function copyExample(name: string, change: (directory: string) => void) {
  const directory = join(FOLDER, name);
  rmSync(directory, { recursive: true, force: true });
  cpSync(ASSOCIATION, directory, { recursive: true });
  change(directory);
  return directory;
}

function replaceIn(file: string, find: string, replacement: string): void {
  const text = readFileSync(file, "utf8");
  assert.ok(text.includes(find), find);
  writeFileSync(file, text.replace(find, replacement));
}

async function accept(directory: string): Promise<number> {
  const head = (await readHead(store))._unsafeUnwrap();
  const accepted = await acceptChange(store, {
    resources: toResources(readConfigDirectory(directory).documents),
    author: "ann",
    note: "",
    acceptanceId: String(Math.random()),
    acceptedAtMs: 0,
    expectedHead: head,
  });
  return accepted._unsafeUnwrap().version;
}

test.before(async () => {
  server = new StoreServer();
  const address = `127.0.0.1:${await server.listen(0)}`;
  store = new EtcdStore([address], { timeoutMs: 2_000, callsPerSecond: 100 });
  writeFileSync(
    OPERATOR_FILE,
    JSON.stringify({
      author: "ann",
      store: { endpoints: [address], timeoutMs: 2_000 },
      fleetKeys: [{ id: "k1", secret: "a-secret-of-some-length" }],
    }),
  );
});

test.after(async () => {
  await store.close();
  await server.close();
  rmSync(FOLDER, { recursive: true });
});

// Each case is input that could be taken for a clean configuration or end the
// command with a stack trace.
const UNREADABLE: {
  name: string;
  change: (directory: string) => void;
  expected: { file: string; line: number; path: string; message: RegExp };
}[] = [
  {
    name: "a base that is missing",
    change: (directory) => rmSync(join(directory, "base.jsonc")),
    expected: {
      file: "base.jsonc",
      line: 1,
      path: "",
      message: /^Cannot read .*base\.jsonc: ENOENT/,
    },
  },
  {
    name: "a base that is a folder",
    change: (directory) => {
      rmSync(join(directory, "base.jsonc"));
      mkdirSync(join(directory, "base.jsonc"));
    },
    expected: {
      file: "base.jsonc",
      line: 1,
      path: "",
      message: /^Cannot read .*base\.jsonc: EISDIR/,
    },
  },
  {
    name: "an empty base",
    change: (directory) => writeFileSync(join(directory, "base.jsonc"), ""),
    expected: {
      file: "base.jsonc",
      line: 1,
      path: "",
      message: /^Cannot parse .*ValueExpected/,
    },
  },
  {
    name: "a syntax error of the base",
    change: (directory) =>
      replaceIn(join(directory, "base.jsonc"), '"rank": "urgent"', '"rank": ]'),
    expected: {
      file: "base.jsonc",
      line: 11,
      path: "services.lookup.rank",
      message: /^Cannot parse .*ValueExpected/,
    },
  },
  {
    name: "a syntax error of an overlay",
    change: (directory) =>
      writeFileSync(join(directory, "sites/tobago.jsonc"), '{\n"routes": {'),
    expected: {
      file: "sites/tobago.jsonc",
      line: 2,
      path: "routes",
      message: /^Cannot parse .*CloseBraceExpected/,
    },
  },
  {
    name: "a route that occurs twice",
    change: (directory) =>
      replaceIn(join(directory, "base.jsonc"), '"orders": {', '"stock": {'),
    expected: {
      file: "base.jsonc",
      line: 69,
      path: "routes.stock",
      message: /^duplicate key "stock"$/,
    },
  },
  {
    name: "a directory without sites",
    change: (directory) =>
      rmSync(join(directory, "sites"), { recursive: true }),
    expected: {
      file: "sites",
      line: 1,
      path: "",
      message: /^Cannot check .*sites contains no SITE\.jsonc$/,
    },
  },
  {
    name: "a file in place of the folder of sites",
    change: (directory) => {
      rmSync(join(directory, "sites"), { recursive: true });
      writeFileSync(join(directory, "sites"), "");
    },
    expected: {
      file: "sites",
      line: 1,
      path: "",
      message: /^Cannot read .*sites: ENOTDIR/,
    },
  },
  {
    name: "an overlay whose name is no site's",
    change: (directory) =>
      writeFileSync(join(directory, "sites/San Juan.jsonc"), "{}"),
    expected: {
      file: "sites/San Juan.jsonc",
      line: 1,
      path: "",
      message: /^Cannot use overlay .*a site's name is/,
    },
  },
];

for (const { name, change, expected } of UNREADABLE) {
  test(`check() cannot read ${name}`, async () => {
    const directory = copyExample("unreadable", change);
    const { code, lines, errors, report } = await runCheck(directory);
    assert.is(code, CheckExitCode.Unreadable);
    assert.equal([report.status, report.findings], ["unreadable", []]);
    const { message, ...position } = report.unreadable[0]!;
    assert.match(message, expected.message);
    const file = join(directory, expected.file);
    assert.equal(
      [position.file, position.line, position.path],
      [file, expected.line, expected.path],
    );
    assert.ok(errors[0]!.startsWith(`${file}:${expected.line}:`), errors[0]);
    assert.equal(lines, []);
  });
}

// Guards against a rejected configuration that ends like an unreadable one.
test("check() reports what daemons reject as findings with their paths", async () => {
  const directory = copyExample("rejected", (copy) => {
    replaceIn(join(copy, "base.jsonc"), '"/patterns"', '"/stock"');
  });
  const { code, lines, report } = await runCheck(directory);
  assert.is(code, CheckExitCode.Findings);
  const [finding, ...others] = report.findings;
  assert.equal(others, []);
  assert.equal(
    finding,
    {
      category: "error",
      kind: "invalid",
      file: join(directory, "base.jsonc"),
      line: 68,
      column: 19,
      path: "routes.patterns.pathPrefix",
      message: 'route "patterns" matches the same requests as "stock"',
      sites: [],
    } as unknown as typeof finding,
  );
  assert.match(lines[0]!, /base\.jsonc:68:19: routes\.patterns\.pathPrefix: /);
});

test("check() accepts the examples without a version in force", async () => {
  const { code, lines, errors, report } = await runCheck(ASSOCIATION);
  assert.is(code, CheckExitCode.Clean);
  assert.equal(errors, []);
  assert.equal(lines, [
    `${ASSOCIATION}: findings: 0, sites: 3, not compared with a version in force`,
  ]);
  assert.equal([report.status, report.comparedVersion], ["clean", null]);
});

// Guards against a check that passes because it compared nothing.
test("check() ends with status 2 without a version in force to compare with", async () => {
  const settings = readFileSync(OPERATOR_FILE, "utf8");
  const empty = await runCheck(ASSOCIATION, OPERATOR_FILE);
  server.goDown();
  const down = await runCheck(ASSOCIATION, OPERATOR_FILE);
  server.comeBack();
  const invalidFile = join(FOLDER, "invalid.jsonc");
  writeFileSync(invalidFile, settings.replace("author", "auhtor"));
  const invalid = await runCheck(ASSOCIATION, invalidFile);
  const missing = await runCheck(ASSOCIATION, join(FOLDER, "none.jsonc"));
  const results = [empty, down, invalid, missing];
  assert.equal(results.map(({ code }) => code), [2, 2, 2, 2]);
  const messages = results.map(({ report }) => report.unreadable[0]!.message);
  for (const message of messages) {
    assert.match(message, /^Cannot read the version in force: /);
  }
  assert.match(messages[0]!, /no version has been accepted yet/);
  assert.match(messages[2]!, /invalid\.jsonc:1:\d+: .*author/);
  assert.is(down.report.unreadable[0]!.file, OPERATOR_FILE);
});

// Guards against findings that are lost because the store does not respond.
test("check() reports the other findings when nothing can be compared", async () => {
  const directory = copyExample("down", (copy) => {
    replaceIn(join(copy, "base.jsonc"), '["stalls"]', '["stalls", "stalls"]');
  });
  server.goDown();
  const { code, lines, report } = await runCheck(directory, OPERATOR_FILE);
  server.comeBack();
  assert.is(code, CheckExitCode.Unreadable);
  assert.match(lines.join("\n"), /duplicate-approval/);
  assert.equal(report.findings.map(({ kind }) => kind), ["duplicate-approval"]);
});

test("check() compares with the version in force in the store", async () => {
  const version = await accept(ASSOCIATION);
  const same = await runCheck(ASSOCIATION, OPERATOR_FILE);
  assert.is(same.code, CheckExitCode.Clean, same.lines.join("\n"));
  assert.is(same.report.comparedVersion, version);
  const directory = copyExample("lowered", (copy) => {
    replaceIn(join(copy, "sites/tobago.jsonc"), "20", "10");
  });
  const lowered = await runCheck(directory, OPERATOR_FILE);
  assert.is(lowered.code, CheckExitCode.Findings);
  assert.equal(
    lowered.report.findings.map(({ kind, sites }) => [kind, sites]),
    [["resource-changed", ["tobago"]], ["limit-lowered", ["tobago"]]],
  );
  assert.match(lowered.lines.at(-1)!, /compared with version \d+$/);
});

// Pattern: an overlay is deleted, so that its site falls back to the base.
test("check() compares the sites whose overlay was deleted", async () => {
  await accept(ASSOCIATION);
  const directory = copyExample("deleted", (copy) => {
    rmSync(join(copy, "sites/san-fernando.jsonc"));
  });
  const { report } = await runCheck(directory, OPERATOR_FILE);
  assert.equal(report.sites, ["port-of-spain", "tobago"]);
  const lowered = report.findings.filter(({ kind }) =>
    kind === "limit-lowered"
  );
  assert.equal(
    lowered.map(({ file, path, sites }) => [file, path, sites]),
    [[
      join(directory, "base.jsonc"),
      "services.proof.timeoutMs",
      ["san-fernando"],
    ]],
  );
});

test.run();
