import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import ts from "typescript";

/** Folders of the library, in the order of the page. */
const FOLDERS = [
  "src/protocol",
  "src/state",
  "src/coordination",
  "src/transport",
  "src/daemon",
] as const;

/** An exported name with the summary from its doc comment. */
export interface ApiEntry {
  readonly file: string;
  readonly name: string;
  readonly kind: string;
  /** First paragraph of the doc comment; empty if there is none. */
  readonly summary: string;
}

/**
 * Lists the exports of the library's own modules.
 *
 * @returns The exports by file.
 */
export function listApi(): ApiEntry[] {
  return FOLDERS.flatMap(findModules).flatMap(listExports);
}

/**
 * Formats the page that lists all exports.
 *
 * @param entries The exports, in the order of their files.
 * @returns The page as Markdown.
 */
export function formatApiPage(entries: readonly ApiEntry[]): string {
  const lines = [
    "# Library",
    "",
    "Made from the doc comments by `npm run docs`; a test compares both.",
  ];
  let file = "";
  for (const entry of entries) {
    if (entry.file !== file) lines.push("", `## ${entry.file}`, "");
    file = entry.file;
    lines.push(`- \`${entry.name}\` (${entry.kind}): ${entry.summary}`);
  }
  return `${lines.join("\n")}\n`;
}

function findModules(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts") && !name.endsWith(".d.ts"))
    .filter((name) => !/(_test|mod|main)\.ts$/.test(name))
    .filter((name) => !name.startsWith("gen"))
    .map((name) => join(folder, name))
    .sort();
}

function listExports(file: string): ApiEntry[] {
  const source = ts.createSourceFile(
    file,
    readFileSync(file, "utf8"),
    ts.ScriptTarget.ES2022,
    true,
  );
  return source.statements.flatMap((statement) => {
    if (!isExported(statement)) return [];
    const summary = readSummary(statement, source);
    return listNames(statement).map(({ name, kind }) => ({
      file,
      name,
      kind,
      summary,
    }));
  });
}

function isExported(statement: ts.Statement): boolean {
  return ts.canHaveModifiers(statement) &&
    (ts.getModifiers(statement) ?? []).some((modifier) =>
      modifier.kind === ts.SyntaxKind.ExportKeyword
    );
}

function listNames(statement: ts.Statement): { name: string; kind: string }[] {
  if (ts.isFunctionDeclaration(statement)) {
    return [{ name: `${statement.name?.text}()`, kind: "function" }];
  }
  if (ts.isClassDeclaration(statement)) {
    return [{ name: statement.name?.text ?? "", kind: "class" }];
  }
  if (ts.isInterfaceDeclaration(statement)) {
    return [{ name: statement.name.text, kind: "interface" }];
  }
  if (ts.isTypeAliasDeclaration(statement)) {
    return [{ name: statement.name.text, kind: "type" }];
  }
  if (ts.isEnumDeclaration(statement)) {
    return [{ name: statement.name.text, kind: "enum" }];
  }
  if (!ts.isVariableStatement(statement)) return [];
  return statement.declarationList.declarations.map((declaration) => ({
    name: declaration.name.getText(),
    kind: "constant",
  }));
}

/** Returns the first paragraph of the doc comment of a statement. */
function readSummary(statement: ts.Statement, source: ts.SourceFile): string {
  const [comment] = ts.getJSDocCommentsAndTags(statement).filter(ts.isJSDoc);
  if (comment === undefined) return "";
  const text = comment.getText(source)
    .replace(/^\/\*\*|\*\/$/g, "")
    .replace(/^\s*\* ?/gm, "")
    .replace(/\{@linkcode (\w+)\}/g, "`$1`");
  const paragraph = text.split(/\n\s*\n|\n\s*@/, 1)[0]!;
  return paragraph.replace(/\s+/g, " ").trim();
}
