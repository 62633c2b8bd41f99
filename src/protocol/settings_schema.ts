import * as z from "zod";
import { FailureKind, StepError } from "./step_error.ts";
import { formatProblem, SourceDocument } from "./source_document.ts";

const PORT = z.number().int().min(0).max(65_535);
const HOST_PORT = z.string().regex(
  /^[0-9a-fA-F.:[\]]+:\d{1,5}$/,
  "must be an IP address and a port",
);
const INTERVAL_MS = z.number().int().min(10).max(3_600_000);

/** Schema of a daemon's settings. */
export const SETTINGS_SCHEMA = z.strictObject({
  instance: z.string().regex(/^[A-Za-z0-9._-]{1,128}$/),
  domain: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  region: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  /** IP address at which peers reach this daemon. */
  host: z.union([z.ipv4(), z.ipv6()]),
  ports: z.strictObject({
    ingress: PORT,
    peer: PORT,
    control: PORT,
    admin: PORT,
  }),
  /** Ports at which peers reach this daemon, if they differ from `ports`. */
  advertised: z.strictObject({ peer: PORT, control: PORT }).optional(),
  /** Local IP address of outgoing connections. */
  sourceAddress: z.union([z.ipv4(), z.ipv6()]).optional(),
  store: z.strictObject({
    endpoints: z.array(HOST_PORT).min(1),
    callsPerSecond: z.number().min(0.1).max(10_000).default(20),
    timeoutMs: INTERVAL_MS.default(2_000),
  }),
  /** Control addresses of daemons through which this one joins the fleet. */
  contacts: z.array(HOST_PORT).default([]),
  /** Keys shared by all daemons; the first signs, all are accepted. */
  fleetKeys: z.array(
    z.strictObject({
      id: z.string().regex(/^[A-Za-z0-9]{1,16}$/),
      secret: z.string().min(16),
    }),
  ).min(1).max(4),
  gossip: z.strictObject({
    periodMs: INTERVAL_MS.default(1_000),
    probeTimeoutMs: INTERVAL_MS.default(400),
    suspicionMs: INTERVAL_MS.default(4_000),
    bridgePeriodMs: INTERVAL_MS.default(1_000),
  }).prefault({}),
  claims: z.strictObject({
    partitions: z.number().int().min(1).max(1_024).default(16),
    commitIntervalMs: z.number().int().min(0).max(1_000).default(50),
    windowMs: z.number().int().min(300_000).default(900_000),
    /** Separate budget, so that claims never starve leases and readers. */
    storeCallsPerSecond: z.number().min(0.1).max(10_000).default(60),
  }).prefault({}),
  ingress: z.strictObject({
    maxRunning: z.number().int().min(1).default(2_000),
    maxHeaderBytes: z.number().int().min(1_024).default(16_384),
  }).prefault({}),
  leaseTtlS: z.number().int().min(1).max(600).default(4),
  drainMs: z.number().int().min(0).max(600_000).default(6_000),
  statsd: z.strictObject({ host: z.string(), port: PORT }).optional(),
  log: z.strictObject({
    file: z.string().optional(),
    level: z.enum(["error", "warn", "info", "debug"]).default("info"),
  }).prefault({}),
  /** Memory of the instance, in MB; 0 if unknown. */
  memoryMb: z.number().min(0).default(0),
});

/** Settings of a daemon, with defaults filled in. */
export type Settings = z.infer<typeof SETTINGS_SCHEMA>;

/**
 * Checks a settings document.
 *
 * @param document The parsed file.
 * @returns The settings with defaults filled in.
 * @throws {StepError} If there are problems; lists each with its position.
 *
 * @example
 * ```ts ignore
 * const settings = parseSettings(SourceDocument.read("daemon.jsonc"));
 * ```
 */
export function parseSettings(document: SourceDocument): Settings {
  const problems = document.problems.length > 0
    ? document.problems
    : document.check(SETTINGS_SCHEMA);
  if (problems.length > 0) {
    throw new StepError(
      FailureKind.Invalid,
      "parse-settings",
      `Cannot use settings: ${problems.map(formatProblem).join("; ")}`,
    );
  }
  return SETTINGS_SCHEMA.parse(document.value);
}
