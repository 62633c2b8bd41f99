import { BlockList, isIPv6 } from "node:net";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import { FailureKind, messageOf, StepError } from "../protocol/step_error.ts";
import type { Announcement } from "./backend_task.ts";

const ANNOUNCEMENT_SCHEMA = z.strictObject({
  service: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  host: z.union([z.ipv4(), z.ipv6()]).optional(),
  port: z.number().int().min(1).max(65_535),
  slots: z.number().int().min(1).max(10_000),
  maxConnections: z.number().int().min(4).max(100_000),
  state: z.enum(["ready", "draining"]).default("ready"),
});

/** Loopback addresses of both families. */
const LOOPBACK_ADDRESSES = new BlockList();
LOOPBACK_ADDRESSES.addSubnet("127.0.0.0", 8, "ipv4");
LOOPBACK_ADDRESSES.addAddress("::1", "ipv6");

/** The source of an announcement. */
export interface AnnouncementSource {
  /** IP address that sent it. */
  readonly remoteAddress: string;
  /** IP address of this instance. */
  readonly localAddress: string;
}

/**
 * Parses a backend server's announcement.
 *
 * Announcements from other instances are rejected; otherwise any process in the
 * network could have calls sent to it.
 *
 * @param text JSON text.
 * @param source Source of the announcement.
 * @returns The announcement, or an error that names the invalid field.
 *
 * @example
 * ```ts
 * const source = { remoteAddress: "127.0.0.1", localAddress: "10.0.0.1" };
 * parseAnnouncement("{}", source).isErr(); // true
 * ```
 */
export function parseAnnouncement(
  text: string,
  source: AnnouncementSource,
): Result<Announcement, StepError> {
  const sender = source.remoteAddress.replace(/^::ffff:/, "");
  if (!isThisInstance(sender, source)) {
    return err(createInvalidError(`${sender} is another instance`));
  }
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    return err(createInvalidError(messageOf(error)));
  }
  const parsed = ANNOUNCEMENT_SCHEMA.safeParse(json);
  if (!parsed.success) {
    const issue = parsed.error.issues[0]!;
    return err(
      createInvalidError(`${issue.path.join(".")}: ${issue.message}`),
    );
  }
  const { state, host = sender, ...rest } = parsed.data;
  if (!isThisInstance(host, source)) {
    return err(createInvalidError(`host: ${host} is another instance`));
  }
  return ok({ ...rest, host, isDraining: state === "draining" });
}

function isThisInstance(address: string, source: AnnouncementSource): boolean {
  return address === source.localAddress ||
    LOOPBACK_ADDRESSES.check(address, isIPv6(address) ? "ipv6" : "ipv4");
}

function createInvalidError(reason: string): StepError {
  return new StepError(
    FailureKind.Invalid,
    "parse-announcement",
    `Cannot take the announcement: ${reason}`,
  );
}
