import * as z from "zod";
import type { SurveyedMember } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { formatProblem, SourceDocument } from "../protocol/source_document.ts";
import { FailureKind, StepError } from "../protocol/step_error.ts";
import { FleetClients } from "../transport/control/fleet_client.ts";
import { PeerAuth } from "../transport/control/peer_auth.ts";
import { EtcdStore } from "../transport/store/etcd_store.ts";

/** Name under which the command line speaks to daemons. */
const SENDER = "operator";
/** Prefix of the reader slots' keys, which name contacts by domain. */
const READER_PREFIX = "slots/reader/";
/** Longest time for a domain to survey itself, in ms. */
const SURVEY_TIMEOUT_MS = 20_000;
/** Longest time to ask one contact for its own version, in ms. */
const ASK_TIMEOUT_MS = 1_000;
/** Store calls a second that the command line allows itself. */
const CALLS_PER_SECOND = 50;

const HOST_PORT = z.string().regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/);

/** Schema of the operator's settings file. */
export const OPERATOR_SCHEMA = z.strictObject({
  author: z.string().min(1).max(200),
  store: z.strictObject({
    endpoints: z.array(HOST_PORT).min(1),
    timeoutMs: z.number().int().min(10).default(3_000),
  }),
  fleetKeys: z.array(
    z.strictObject({ id: z.string(), secret: z.string().min(16) }),
  ).min(1),
});

/** What a survey of the fleet found. */
export interface FleetSurvey {
  readonly members: readonly SurveyedMember[];
  /** Domains with contacts in the store of which none answered. */
  readonly silentDomains: readonly string[];
}

/**
 * The operator's connections to the store and the fleet.
 *
 * @example
 * ```ts ignore
 * const session = OperatorSession.open("operator.jsonc");
 * const survey = await session.survey();
 * await session.close();
 * ```
 */
export class OperatorSession {
  readonly author: string;
  readonly store: EtcdStore;
  readonly #clients: FleetClients;

  private constructor(settings: z.infer<typeof OPERATOR_SCHEMA>) {
    const auth = new PeerAuth(settings.fleetKeys);
    this.author = settings.author;
    this.store = new EtcdStore(settings.store.endpoints, {
      timeoutMs: settings.store.timeoutMs,
      callsPerSecond: CALLS_PER_SECOND,
    });
    this.#clients = new FleetClients(() => auth.token(SENDER, Date.now()));
  }

  /**
   * Reads the operator's settings; connections open on demand.
   *
   * @param file Path of the settings file.
   * @returns The session.
   * @throws {StepError} With every problem's file, line and column.
   */
  static open(file: string): OperatorSession {
    const document = SourceDocument.read(file);
    const problems = document.problems.length > 0
      ? document.problems
      : document.check(OPERATOR_SCHEMA);
    if (problems.length > 0) {
      throw new StepError(
        FailureKind.Invalid,
        "parse-operator-settings",
        `Cannot use settings: ${problems.map(formatProblem).join("; ")}`,
      );
    }
    return new OperatorSession(OPERATOR_SCHEMA.parse(document.value));
  }

  /**
   * Asks each domain through one of its contacts which versions are in force.
   *
   * @returns All members, and the domains that could not be asked.
   * @throws {StepError} If the store does not name the contacts.
   */
  async survey(): Promise<FleetSurvey> {
    const contacts = await this.#contacts();
    const answers = await Promise.all(
      [...contacts].map(async ([domain, addresses]) => ({
        domain,
        members: await this.#surveyDomain(domain, addresses),
      })),
    );
    return {
      members: answers.flatMap((answer) => answer.members ?? []),
      silentDomains: answers.filter((answer) => answer.members === undefined)
        .map((answer) => answer.domain),
    };
  }

  /**
   * Asks the contacts for the versions that they hold themselves.
   *
   * @returns The highest one; 0 where no contact answers.
   * @throws {StepError} If the store does not name the contacts.
   */
  async contactVersion(): Promise<number> {
    const addresses = [...(await this.#contacts()).values()].flat();
    const answers = await Promise.all(
      addresses.map((address) => this.#survey(address, "", ASK_TIMEOUT_MS)),
    );
    const members = answers.flatMap((answer) => answer ?? []);
    return Math.max(0, ...members.map((member) => member.version));
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    this.#clients.close();
    await this.store.close();
  }

  /** Control addresses of the contacts by domain. */
  async #contacts(): Promise<Map<string, string[]>> {
    const range = await this.store.list(READER_PREFIX);
    if (range.isErr()) throw range.error;
    const contacts = new Map<string, string[]>();
    for (const { key, value } of range.value.entries) {
      const domain = key.slice(READER_PREFIX.length).split("/")[0]!;
      const address = new TextDecoder().decode(value);
      contacts.set(domain, [...contacts.get(domain) ?? [], address]);
    }
    return contacts;
  }

  async #surveyDomain(
    domain: string,
    addresses: readonly string[],
  ): Promise<SurveyedMember[] | undefined> {
    for (const address of addresses) {
      const members = await this.#survey(address, domain, SURVEY_TIMEOUT_MS);
      if (members !== undefined) return members;
    }
    return undefined;
  }

  async #survey(
    address: string,
    domain: string,
    timeoutMs: number,
  ): Promise<SurveyedMember[] | undefined> {
    const result = await this.#clients.call(
      address,
      "survey",
      (peer, options) => peer.survey({ domain }, options),
      { timeoutMs },
    );
    return result.isOk() ? result.value.members : undefined;
  }
}
