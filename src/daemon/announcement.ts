import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import { FailureKind, messageOf, StepError } from "../protocol/step_error.ts";
import type { Announcement } from "./backend_task.ts";

const SCHEMA = z.strictObject({
  service: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  host: z.union([z.ipv4(), z.ipv6()]).optional(),
  port: z.number().int().min(1).max(65_535),
  slots: z.number().int().min(1).max(10_000),
  maxConnections: z.number().int().min(4).max(100_000),
  state: z.enum(["ready", "draining"]).default("ready"),
});

/**
 * Parses what a backend server says of itself.
 *
 * @param text JSON text.
 * @param defaultHost Address that it was sent from.
 * @returns The announcement, or an error that names the field.
 *
 * @example
 * ```ts
 * parseAnnouncement("{}", "127.0.0.1").isErr(); // true
 * ```
 */
export function parseAnnouncement(
  text: string,
  defaultHost: string,
): Result<Announcement, StepError> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    return err(invalid(messageOf(error)));
  }
  const parsed = SCHEMA.safeParse(json);
  if (!parsed.success) {
    const issue = parsed.error.issues[0]!;
    return err(invalid(`${issue.path.join(".")}: ${issue.message}`));
  }
  const { state, host, ...rest } = parsed.data;
  return ok({
    ...rest,
    host: host ?? defaultHost.replace(/^::ffff:/, ""),
    isDraining: state === "draining",
  });
}

function invalid(reason: string): StepError {
  return new StepError(
    FailureKind.Invalid,
    "parse-announcement",
    `Cannot take the announcement: ${reason}`,
  );
}
