import { randomBytes } from "node:crypto";
import { create } from "@bufbuild/protobuf";
import {
  type Member,
  MemberSchema,
  MemberState,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { WinstonSink } from "../transport/observe/winston_sink.ts";

/**
 * Opens the log that the settings specify.
 *
 * @param settings Validated settings.
 * @returns The log.
 *
 * @example
 * ```ts ignore
 * const log = openLog(settings);
 * ```
 */
export function openLog(settings: Settings): EventLog {
  return new EventLog({
    sink: new WinstonSink(settings.log.file),
    level: settings.log.level,
    fields: { instance: settings.instance, domain: settings.domain },
  });
}

/**
 * Creates the member record of this daemon, with a new id for each start.
 *
 * @param settings Validated settings.
 * @returns The record.
 *
 * @example
 * ```ts ignore
 * createSelf(settings).id; // "east-1-0a1b2c3d"
 * ```
 */
export function createSelf(settings: Settings): Member {
  const suffix = randomBytes(4).toString("hex");
  return create(MemberSchema, {
    id: `${settings.instance}-${suffix}`,
    instance: settings.instance,
    domain: settings.domain,
    host: settings.host,
    peerPort: settings.advertised?.peer ?? settings.ports.peer,
    controlPort: settings.advertised?.control ?? settings.ports.control,
    state: MemberState.ALIVE,
    incarnation: 1,
  });
}
