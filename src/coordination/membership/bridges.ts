import type { Member } from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { rendezvous } from "../../protocol/hash.ts";
import type { Random } from "../../protocol/random.ts";
import type { MemberTable } from "../../state/member_table.ts";

/** Daemons of a failure domain that exchange with each other domain. */
export const BRIDGES_PER_PAIR = 2;

/**
 * Chooses the members of other failure domains to exchange with.
 *
 * For each pair of domains a constant number of daemons has this duty, so that
 * the traffic between domains does not grow with the fleet.
 *
 * @param table The member table.
 * @param self The own record.
 * @param random Choice of the partner.
 * @returns A partner for each domain that this daemon bridges to.
 *
 * @example
 * ```ts ignore
 * for (const partner of bridgeTargets(table, self, random)) exchange(partner);
 * ```
 */
export function bridgeTargets(
  table: MemberTable,
  self: Member,
  random: Random,
): Member[] {
  const ownIds = table.present(self.domain).map((member) => member.id);
  return table.domains()
    .filter((domain) => domain !== self.domain)
    .filter((domain) => {
      const duty = `bridge/${self.domain}/${domain}`;
      return rendezvous(duty, ownIds, BRIDGES_PER_PAIR).includes(self.id);
    })
    .flatMap((domain) => random.pick(table.present(domain)) ?? []);
}
