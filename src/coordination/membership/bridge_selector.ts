import type { Member } from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { rendezvous } from "../../protocol/hash.ts";
import type { Random } from "../../protocol/random.ts";
import type { MemberTable } from "../../state/member_table.ts";

/** Number of daemons of a failure domain that gossip with each other domain. */
export const BRIDGES_PER_PAIR = 2;

/**
 * Selects the members of other failure domains to gossip with.
 *
 * For each pair of domains, a constant number of daemons act as bridges, so
 * that the traffic between domains does not grow with the fleet. The bridges
 * are recomputed only when the members change.
 *
 * @example
 * ```ts ignore
 * for (const partner of bridges.selectPartners()) exchange(partner);
 * ```
 */
export class BridgeSelector {
  readonly #table: MemberTable;
  readonly #self: Pick<Member, "id" | "domain">;
  readonly #random: Random;
  #bridgedDomains: readonly string[] = [];
  #selectedFrom: readonly Member[] | undefined;

  /**
   * Creates a selector for one daemon.
   *
   * @param table The member table.
   * @param self Id and failure domain of the daemon.
   * @param random Random source for the selection of partners.
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
   * Selects the partners of one round.
   *
   * @returns A random member of each domain that this daemon is a bridge to.
   */
  selectPartners(): Member[] {
    const present = this.#table.present();
    if (this.#selectedFrom !== present) {
      this.#bridgedDomains = this.#findBridgedDomains();
      this.#selectedFrom = present;
    }
    return this.#bridgedDomains.flatMap((domain) =>
      this.#random.pick(this.#table.present(domain)) ?? []
    );
  }

  /** Returns the names of the domains that this daemon is a bridge to. */
  #findBridgedDomains(): string[] {
    const { id, domain: localDomain } = this.#self;
    const ids = this.#table.present(localDomain).map((member) => member.id);
    return this.#table.domains().filter((domain) =>
      domain !== localDomain &&
      rendezvous(`bridge/${localDomain}/${domain}`, ids, BRIDGES_PER_PAIR)
        .includes(id)
    );
  }
}
