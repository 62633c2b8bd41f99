import { join } from "node:path";
import type { ConfigDocuments } from "../coordination/config/check_documents.ts";
import {
  readHead,
  readResources,
} from "../coordination/config/version_records.ts";
import {
  formatProblem,
  type Problem,
  SourceError,
} from "../protocol/source_document.ts";
import { FailureKind, messageOf, StepError } from "../protocol/step_error.ts";
import type { ConfigSource } from "../state/resource_set.ts";
import {
  checkConfiguration,
  compileView,
} from "./check/check_configuration.ts";
import { findDifferences } from "./check/differences.ts";
import { categoryOf, type Finding } from "./check/finding.ts";
import { formatFinding } from "./check/format_finding.ts";
import { mergeSites } from "./check/merge_sites.ts";
import type { SiteView } from "./check/site_view.ts";
import { readConfigDirectory, SITES_FOLDER } from "./config_directory.ts";
import { CheckExitCode } from "./exit_code.ts";
import { OperatorSession } from "./operator_session.ts";
import type { Output } from "./output.ts";

/** Optional settings of {@linkcode check}. */
export interface CheckOptions {
  /** Settings file of the operator; without it, nothing is compared. */
  readonly operatorFile?: string | undefined;
}

/** Report of the check of a configuration directory. */
export interface CheckReport {
  readonly sites: readonly string[];
  readonly findings: readonly Finding[];
  /** What could not be read; the findings are incomplete if there is any. */
  readonly unreadable: readonly Problem[];
  /** Version that the files were compared with, if any. */
  readonly comparedVersion: number | undefined;
}

/** The configuration version in force. */
interface VersionInForce {
  readonly version: number;
  readonly source: ConfigSource;
}

/**
 * Checks a configuration directory before it is applied: errors, entries that
 * never match, contradicting limits and, if the operator's settings are given,
 * differences from the version in force.
 *
 * @param directory Path of the directory.
 * @param output Receives the report.
 * @param options The operator's settings.
 * @returns The exit code.
 *
 * @example
 * ```ts ignore
 * await check("examples/association", openOutput(false)); // CheckExitCode.Clean
 * ```
 */
export async function check(
  directory: string,
  output: Output,
  options: CheckOptions = {},
): Promise<CheckExitCode> {
  const report = await buildReport(directory, options.operatorFile);
  const exitCode = exitCodeOf(report);
  printReport(directory, report, output);
  output.json({
    status: CheckExitCode[exitCode].toLowerCase(),
    directory,
    sites: report.sites,
    comparedVersion: report.comparedVersion ?? null,
    findings: report.findings.map((finding) => ({
      category: categoryOf(finding.kind),
      ...finding,
      path: finding.path.join("."),
    })),
    unreadable: report.unreadable.map((problem) => ({
      ...problem,
      path: problem.path.join("."),
    })),
  });
  return exitCode;
}

async function buildReport(
  directory: string,
  operatorFile: string | undefined,
): Promise<CheckReport> {
  const report = {
    sites: [] as string[],
    findings: [] as Finding[],
    unreadable: [] as Problem[],
    comparedVersion: undefined as number | undefined,
  };
  try {
    const { documents } = readConfigDirectory(directory);
    report.sites.push(...Object.keys(documents.overlays));
    report.unreadable.push(...listUnreadable(directory, documents));
    if (report.unreadable.length > 0) return report;
    const { findings, views } = checkConfiguration(documents);
    report.findings.push(...findings);
    if (operatorFile === undefined || views.length === 0) return report;
    const inForce = await readVersionInForce(operatorFile);
    const allViews = addMissingSites(documents, views, inForce.source);
    const differences = allViews.flatMap((view) =>
      findDifferences(inForce.source, view)
    );
    report.findings.push(...mergeSites(differences));
    report.comparedVersion = inForce.version;
  } catch (error) {
    report.unreadable.push(toProblem(error, directory));
  }
  return report;
}

/** Lists syntax errors and duplicate keys, and an absence of overlays. */
function listUnreadable(
  directory: string,
  { base, overlays }: ConfigDocuments,
): Problem[] {
  const problems = [base, ...Object.values(overlays)]
    .flatMap((document) => document.problems);
  if (Object.keys(overlays).length > 0) return problems;
  const file = join(directory, SITES_FOLDER);
  const message = `Cannot check ${directory}: ${file} contains no SITE.jsonc`;
  return [...problems, { file, line: 1, column: 1, path: [], message }];
}

/** Adds the sites of the version in force that have no overlay any more. */
function addMissingSites(
  documents: ConfigDocuments,
  views: readonly SiteView[],
  inForce: ConfigSource,
): SiteView[] {
  const missing = Object.keys(inForce.sites)
    .filter((site) => !Object.hasOwn(documents.overlays, site));
  return [...views, ...missing.map((site) => compileView(documents, site))];
}

/** Reads the version in force; the error names the operator's settings. */
async function readVersionInForce(
  operatorFile: string,
): Promise<VersionInForce> {
  try {
    const session = OperatorSession.open(operatorFile);
    try {
      return await readAcceptedVersion(session);
    } finally {
      await session.close();
    }
  } catch (error) {
    throw new SourceError(
      operatorFile,
      "read-version-in-force",
      `Cannot read the version in force: ${messageOf(error)}`,
      { cause: error },
    );
  }
}

async function readAcceptedVersion(
  { store }: OperatorSession,
): Promise<VersionInForce> {
  const stored = await readHead(store);
  if (stored.isErr()) throw stored.error;
  if (stored.value === undefined) {
    throw new StepError(
      FailureKind.Conflict,
      "read-version-in-force",
      "no version has been accepted yet",
      { peer: "store" },
    );
  }
  const { head } = stored.value;
  const resources = await readResources(store, head);
  if (resources.isErr()) throw resources.error;
  return { version: head.version, source: resources.value.toSource() };
}

function toProblem(error: unknown, directory: string): Problem {
  const file = error instanceof SourceError ? error.file : directory;
  return { file, line: 1, column: 1, path: [], message: messageOf(error) };
}

function exitCodeOf(report: CheckReport): CheckExitCode {
  if (report.unreadable.length > 0) return CheckExitCode.Unreadable;
  return report.findings.length > 0
    ? CheckExitCode.Findings
    : CheckExitCode.Clean;
}

function printReport(
  directory: string,
  report: CheckReport,
  output: Output,
): void {
  const { findings, unreadable, sites, comparedVersion } = report;
  for (const problem of unreadable) output.error(formatUnreadable(problem));
  for (const finding of findings) output.line(formatFinding(finding));
  if (unreadable.length > 0) return;
  const comparison = comparedVersion === undefined
    ? "not compared with a version in force"
    : `compared with version ${comparedVersion}`;
  output.line(
    `${directory}: findings: ${findings.length}, sites: ${sites.length}, ${comparison}`,
  );
}

function formatUnreadable(problem: Problem): string {
  const { path, message } = problem;
  return formatProblem(
    path.length === 0
      ? problem
      : { ...problem, message: `${path.join(".")}: ${message}` },
  );
}
