import * as z from "zod";
import type { SurveyedMember } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { formatProblem, SourceDocument } from "../protocol/source_document.ts";
import { FailureKind, StepError } from "../protocol/step_error.ts";
import { FleetClients } from "../transport/control/fleet_client.ts";
import { PeerAuth } from "../transport/control/peer_auth.ts";
import { EtcdStore } from "../transport/store/etcd_store.ts";

/** Sender id that the command line uses in calls to daemons. */
const SENDER = "operator";
/** Prefix of the reader slots' keys, which hold the contacts of each domain. */
const READER_PREFIX = "slots/reader/";
/** Timeout for the survey of a domain, in ms. */
const SURVEY_TIMEOUT_MS = 20_000;
/** Timeout for reading one contact's own version, in ms. */
const CONTACT_TIMEOUT_MS = 1_000;
/** Rate limit of the command line's store calls, per second. */
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

/** Result of a survey of the fleet. */
export interface FleetSurvey {
  readonly members: readonly SurveyedMember[];
  /** Domains with contacts in the store, none of which responded. */
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
   * @throws {StepError} If the settings are invalid; names the file, line and
   * column of every problem.
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
   * Reads which versions are in force through one contact of each domain.
   *
   * @returns All members, and the domains that could not be reached.
   * @throws {StepError} If the contacts cannot be read from the store.
   */
  async survey(): Promise<FleetSurvey> {
    const contacts = await this.#readContacts();
    const surveys = await Promise.all(
      [...contacts].map(async ([domain, addresses]) => ({
        domain,
        members: await this.#surveyDomain(domain, addresses),
      })),
    );
    return {
      members: surveys.flatMap((survey) => survey.members ?? []),
      silentDomains: surveys.filter((survey) => survey.members === undefined)
        .map((survey) => survey.domain),
    };
  }

  /**
   * Returns the highest version that any of the contacts uses itself.
   *
   * @returns The version; 0 if no contact responds.
   * @throws {StepError} If the contacts cannot be read from the store.
   */
  async findHighestContactVersion(): Promise<number> {
    const addresses = [...(await this.#readContacts()).values()].flat();
    const responses = await Promise.all(
      addresses.map((address) =>
        this.#callSurvey(address, "", CONTACT_TIMEOUT_MS)
      ),
    );
    const members = responses.flatMap((response) => response ?? []);
    return Math.max(0, ...members.map((member) => member.version));
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    this.#clients.close();
    await this.store.close();
  }

  /** Returns the control addresses of the contacts by domain. */
  async #readContacts(): Promise<Map<string, string[]>> {
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
      const members = await this.#callSurvey(
        address,
        domain,
        SURVEY_TIMEOUT_MS,
      );
      if (members !== undefined) return members;
    }
    return undefined;
  }

  async #callSurvey(
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
