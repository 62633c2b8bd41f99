import type { Member } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";

/**
 * Returns the control address of a member.
 *
 * @param member The member.
 * @returns "ip:port".
 *
 * @example
 * ```ts ignore
 * controlAddress(member); // "10.0.0.2:7003"
 * ```
 */
export function controlAddress(member: Member): string {
  return `${member.host}:${member.controlPort}`;
}
