import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { acceptChange } from "../coordination/config/accept_change.ts";
import {
  pruneHistory,
  readHead,
  readResources,
  readVersion,
  type StoredHead,
} from "../coordination/config/version_records.ts";
import type { HeadRecord } from "../coordination/config/head_record.ts";
import { formatProblem } from "../protocol/source_document.ts";
import { ResourceSet } from "../state/resource_set.ts";
import { readConfigDirectory, toResources } from "./config_directory.ts";
import { ExitCode } from "./exit_code.ts";
import type { FleetSurvey, OperatorSession } from "./operator_session.ts";
import type { Output } from "./output.ts";

/** Interval between two surveys while waiting, in ms. */
const SURVEY_PERIOD_MS = 200;

/** Optional settings of {@linkcode apply} and {@linkcode rollback}. */
export interface ApplyOptions {
  /** Purpose of the change. @default {""} */
  note?: string;
  /** Whether to wait until all daemons use the version. @default {false} */
  shouldWait?: boolean;
  /** Longest time to wait, in ms. @default {30000} */
  waitMs?: number;
  /** Version that the change is based on; the current version if omitted. */
  expectedVersion?: number;
}

/** Changes between two versions, by resource. */
export interface ResourceDiff {
  readonly added: readonly string[];
  readonly changed: readonly string[];
  readonly removed: readonly string[];
}

/**
 * Compares two sets of resources.
 *
 * @param before The earlier set.
 * @param after The later set.
 * @returns Keys of the resources that differ.
 *
 * @example
 * ```ts
 * diffResources(ResourceSet.empty(), ResourceSet.empty()).added; // []
 * ```
 */
export function diffResources(
  before: ResourceSet,
  after: ResourceSet,
): ResourceDiff {
  const keysBefore = new Set(before.entries().map(([key]) => key));
  const delta = before.deltaTo(after, { fromVersion: 0, toVersion: 1 });
  const puts = delta.puts.map(({ key }) => key);
  return {
    added: puts.filter((key) => !keysBefore.has(key)),
    changed: puts.filter((key) => keysBefore.has(key)),
    removed: delta.removes,
  };
}

/**
 * Shows what applying a directory would change.
 *
 * @param directory Path of the directory.
 * @param session The operator's connections.
 * @param output Receives the differences.
 * @returns The exit code.
 *
 * @example
 * ```ts ignore
 * await diff("examples/association", session, output);
 * ```
 */
export async function diff(
  directory: string,
  session: OperatorSession,
  output: Output,
): Promise<ExitCode> {
  const after = readValidResources(directory, output);
  if (after === undefined) return ExitCode.Invalid;
  const { stored, resources } = await readCurrent(session);
  const changes = diffResources(resources, after);
  output.json({ version: stored?.head.version ?? 0, ...changes });
  printDiff(changes, output);
  return ExitCode.Ok;
}

/**
 * Checks a directory and makes it the accepted configuration.
 *
 * @param directory Path of the directory.
 * @param session The operator's connections.
 * @param parts Output and options.
 * @returns The exit code.
 *
 * @example
 * ```ts ignore
 * await apply("examples/association", session, { output, options: { shouldWait: true } });
 * ```
 */
export async function apply(
  directory: string,
  session: OperatorSession,
  parts: { output: Output; options: ApplyOptions },
): Promise<ExitCode> {
  const resources = readValidResources(directory, parts.output);
  if (resources === undefined) return ExitCode.Invalid;
  return await acceptResources(resources, session, parts);
}

/**
 * Accepts the content of an earlier version again, under a new and higher
 * version number.
 *
 * @param version The earlier version.
 * @param session The operator's connections.
 * @param parts Output and options.
 * @returns The exit code.
 *
 * @example
 * ```ts ignore
 * await rollback(4, session, { output, options: {} });
 * ```
 */
export async function rollback(
  version: number,
  session: OperatorSession,
  parts: { output: Output; options: ApplyOptions },
): Promise<ExitCode> {
  const record = await readVersion(session.store, version);
  if (record.isErr()) throw record.error;
  const resources = await readResources(session.store, record.value);
  if (resources.isErr()) throw resources.error;
  const note = parts.options.note || `rollback to ${version}`;
  return await acceptResources(resources.value, session, {
    ...parts,
    options: { ...parts.options, note },
  });
}

async function acceptResources(
  resources: ResourceSet,
  session: OperatorSession,
  { output, options }: { output: Output; options: ApplyOptions },
): Promise<ExitCode> {
  const current = await readCurrent(session);
  const headVersion = current.stored?.head.version ?? 0;
  const { expectedVersion } = options;
  if (expectedVersion !== undefined && expectedVersion !== headVersion) {
    output.error(
      `Cannot accept the change: it is based on version ${expectedVersion}, but the current version is ${headVersion}`,
    );
    return ExitCode.Conflict;
  }
  printDiff(diffResources(current.resources, resources), output);
  const accepted = await acceptChange(session.store, {
    resources,
    author: session.author,
    note: options.note ?? "",
    acceptanceId: randomUUID(),
    acceptedAtMs: Date.now(),
    expectedHead: current.stored,
    // The fleet is ahead of a store that was restored from an old backup.
    minVersion: await session.findHighestContactVersion() + 1,
  });
  if (accepted.isErr()) throw accepted.error;
  // A failure to prune is harmless: the next change prunes again.
  await pruneHistory(session.store);
  output.line(`accepted version ${accepted.value.version}`);
  if (options.shouldWait !== true) {
    output.json({ version: accepted.value.version, inForce: undefined });
    return ExitCode.Ok;
  }
  return await waitUntilInForce(accepted.value, session, { output, options });
}

async function waitUntilInForce(
  head: HeadRecord,
  session: OperatorSession,
  { output, options }: { output: Output; options: ApplyOptions },
): Promise<ExitCode> {
  const deadlineMs = Date.now() + (options.waitMs ?? 30_000);
  for (;;) {
    const survey = await session.survey();
    const missing = findMissing(survey, head.version);
    const inForce = survey.members.length - missing.members.length;
    const isDone = missing.members.length + missing.domains.length === 0;
    if (isDone || Date.now() > deadlineMs) {
      output.json({ version: head.version, inForce, missing });
      output.line(`in force on ${inForce} daemons`);
      if (isDone) return ExitCode.Ok;
      output.error(
        `not in force: ${[...missing.members, ...missing.domains].join(", ")}`,
      );
      return ExitCode.Unavailable;
    }
    await sleep(SURVEY_PERIOD_MS);
  }
}

/**
 * Finds the members that have not adopted a version yet.
 *
 * @param survey Result of the fleet survey.
 * @param version The version.
 * @returns The instances, and the domains that did not respond at all.
 *
 * @example
 * ```ts
 * findMissing({ members: [], silentDomains: [] }, 3).members; // []
 * ```
 */
export function findMissing(
  survey: FleetSurvey,
  version: number,
): { members: string[]; domains: string[] } {
  return {
    members: survey.members
      .filter((member) => !member.reached || member.version < version)
      .map((member) => member.instance),
    domains: survey.silentDomains.map((domain) => `domain ${domain}`),
  };
}

async function readCurrent(session: OperatorSession): Promise<{
  stored: StoredHead | undefined;
  resources: ResourceSet;
}> {
  const stored = await readHead(session.store);
  if (stored.isErr()) throw stored.error;
  if (stored.value === undefined) {
    return { stored: undefined, resources: ResourceSet.empty() };
  }
  const resources = await readResources(session.store, stored.value.head);
  if (resources.isErr()) throw resources.error;
  return { stored: stored.value, resources: resources.value };
}

function readValidResources(
  directory: string,
  output: Output,
): ResourceSet | undefined {
  const { documents, problems } = readConfigDirectory(directory);
  if (problems.length === 0) return toResources(documents);
  for (const problem of problems) output.error(formatProblem(problem));
  output.json({ ok: false, problems });
  return undefined;
}

function printDiff(changes: ResourceDiff, output: Output): void {
  for (const key of changes.added) output.line(`+ ${key}`);
  for (const key of changes.changed) output.line(`~ ${key}`);
  for (const key of changes.removed) output.line(`- ${key}`);
}
