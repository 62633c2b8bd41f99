import { create } from "@bufbuild/protobuf";
import type { Membership } from "../coordination/membership/membership.ts";
import {
  type Member,
  type SurveyedMember,
  SurveyedMemberSchema,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import type { Random } from "../protocol/random.ts";
import type { ConfigStore } from "../state/config_store.ts";
import type { FleetClients } from "../transport/control/fleet_client.ts";
import { controlAddress } from "./control_address.ts";

/** Number of members that are queried concurrently. */
const CONCURRENCY = 16;
/** Timeout for querying one member, in ms. */
const MEMBER_TIMEOUT_MS = 1_000;
/** Timeout for the survey of another domain, in ms. */
const DOMAIN_TIMEOUT_MS = 15_000;
/** Members of a domain that are tried before it counts as unreachable. */
const DOMAIN_ATTEMPTS = 3;

/** Options of a {@linkcode Surveyor}. */
export interface SurveyorOptions {
  readonly membership: Membership;
  readonly config: ConfigStore;
  readonly clients: FleetClients;
  readonly random: Random;
}

/**
 * Collects the configuration versions in force across the fleet.
 *
 * Each domain is surveyed through one of its members, which queries the others.
 *
 * @example
 * ```ts ignore
 * const members = await surveyor.surveyFleet();
 * ```
 */
export class Surveyor {
  readonly #options: SurveyorOptions;

  /**
   * Creates a surveyor.
   *
   * @param options Dependencies.
   */
  constructor(options: SurveyorOptions) {
    this.#options = options;
  }

  /** Returns the survey entry of this daemon. */
  describeSelf(): SurveyedMember {
    const { membership, config } = this.#options;
    return toSurveyedMember(membership.self, {
      version: config.version,
      adoptedAtMs: config.adoptedAtMs,
      reached: true,
    });
  }

  /**
   * Surveys the domain of this daemon.
   *
   * @returns All present members; those that did not answer have `reached`
   * false.
   */
  async surveyDomain(): Promise<SurveyedMember[]> {
    const pending = this.#options.membership.domainPeers();
    const surveyed: SurveyedMember[] = [this.describeSelf()];
    const workers = Array.from({ length: CONCURRENCY }, async () => {
      for (let member = pending.pop(); member; member = pending.pop()) {
        surveyed.push(await this.#surveyMember(member));
      }
    });
    await Promise.all(workers);
    return surveyed;
  }

  /**
   * Surveys all domains.
   *
   * @returns All present members of the fleet.
   */
  async surveyFleet(): Promise<SurveyedMember[]> {
    const { table, self } = this.#options.membership;
    const others = table.domains().filter((domain) => domain !== self.domain);
    const parts = await Promise.all([
      this.surveyDomain(),
      ...others.map((domain) => this.#surveyOtherDomain(domain)),
    ]);
    return parts.flat();
  }

  async #surveyOtherDomain(domain: string): Promise<SurveyedMember[]> {
    const members = this.#options.membership.table.present(domain);
    const { clients, random } = this.#options;
    for (const member of random.sample(members, DOMAIN_ATTEMPTS)) {
      const result = await clients.call(
        controlAddress(member),
        "survey",
        (peer, options) => peer.survey({ domain }, options),
        { timeoutMs: DOMAIN_TIMEOUT_MS },
      );
      if (result.isOk()) return result.value.members;
    }
    return members.map((member) => toSurveyedMember(member, NOT_REACHED));
  }

  async #surveyMember(member: Member): Promise<SurveyedMember> {
    const result = await this.#options.clients.call(
      controlAddress(member),
      "survey",
      (peer, options) => peer.survey({ domain: "" }, options),
      { timeoutMs: MEMBER_TIMEOUT_MS },
    );
    const entry = result.isOk() ? result.value.members[0] : undefined;
    return entry?.id === member.id
      ? entry
      : toSurveyedMember(member, NOT_REACHED);
  }
}

const NOT_REACHED = { version: 0, adoptedAtMs: 0, reached: false };

function toSurveyedMember(
  member: Member,
  status: { version: number; adoptedAtMs: number; reached: boolean },
): SurveyedMember {
  return create(SurveyedMemberSchema, {
    id: member.id,
    instance: member.instance,
    domain: member.domain,
    state: member.state,
    service: member.service,
    backendReady: member.backendReady,
    ...status,
  });
}
