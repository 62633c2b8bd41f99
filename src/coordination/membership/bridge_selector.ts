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
 * the traffic between domains does not grow with the fleet. The duties are
 * found anew only when the members change.
 *
 * @example
 * ```ts ignore
 * for (const partner of bridges.partners()) exchange(partner);
 * ```
 */
export class BridgeSelector {
  readonly #table: MemberTable;
  readonly #self: Pick<Member, "id" | "domain">;
  readonly #random: Random;
  #duties: readonly string[] = [];
  #dutiesOf: readonly Member[] | undefined;

  /**
   * Creates the choice of one daemon.
   *
   * @param table The member table.
   * @param self Id and failure domain of the daemon.
   * @param random Choice of the partners.
   */
  constructor(
    table: MemberTable,
    self: Pick<Member, "id" | "domain">,
    random: Random,
  ) {
    this.#table = table;
    this.#self = self;
    this.#random = random;
  }

  /**
   * Chooses partners.
   *
   * @returns A partner for each domain that this daemon bridges to.
   */
  selectPartners(): Member[] {
    const present = this.#table.present();
    if (this.#dutiesOf !== present) {
      this.#duties = this.#findDuties();
      this.#dutiesOf = present;
    }
    return this.#duties.flatMap((domain) =>
      this.#random.pick(this.#table.present(domain)) ?? []
    );
  }

  /** Names of the domains that this daemon bridges to. */
  #findDuties(): string[] {
    const { id, domain: own } = this.#self;
    const ids = this.#table.present(own).map((member) => member.id);
    return this.#table.domains().filter((domain) =>
      domain !== own &&
      rendezvous(`bridge/${own}/${domain}`, ids, BRIDGES_PER_PAIR).includes(id)
    );
  }
}
