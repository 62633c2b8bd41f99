/** Starts the head of a frame; an earlier daemon cannot read such a head. */
const HEAD_PREFIX = "quota1 ";

/** What a daemon needs of an organisation's tokens. */
export interface TokenDemand {
  readonly organisation: string;
  /** Requests that wait for a token. */
  readonly waiting: number;
  /** Requests per second at the daemon. */
  readonly demandPerS: number;
  /** Newest grant in advance that it has received; 0 if none. */
  readonly grantId: number;
  /** Tokens of this and of earlier grants that it still holds. */
  readonly held: number;
  /** Tokens of these grants that it gives back and no longer holds. */
  readonly returned: number;
}

/** What an account gives to a daemon. */
export interface TokenGrant {
  readonly organisation: string;
  /** Tokens for requests that wait; void for those that no longer do. */
  readonly granted: number;
  /** Tokens in advance, which expire. */
  readonly advance: number;
  /** Id of the grant in advance; 0 if there is none. */
  readonly grantId: number;
  /** Time for which the account has nothing for the daemon; 0 if it has. */
  readonly emptyMs: number;
  readonly level: number;
}

/** What a daemon sends to the account daemon of a group. */
export interface QuotaReport {
  readonly group: string;
  /** Name of the sender's instance. */
  readonly sender: string;
  /** Process of the account daemon whose answer it heard last. */
  readonly epoch: string;
  /** Time stamp of that answer; 0 if the sender asks for no lease. */
  readonly stampMs: number;
  /** Length of the lease that the answer named. */
  readonly leaseMs: number;
  /** Ends the sender's lease. */
  readonly releases: boolean;
  readonly demands: readonly TokenDemand[];
}

/** Answer of a daemon that holds the accounts of the group. */
export interface QuotaAnswer {
  readonly kind: "served";
  readonly epoch: string;
  /** Time of the answer by the account daemon's monotonic clock. */
  readonly stampMs: number;
  /** Length of the lease that the sender may claim. */
  readonly leaseMs: number;
  /** Whether the sender holds a lease now. */
  readonly isLeased: boolean;
  /** Organisations that the account daemon does not know are left out. */
  readonly grants: readonly TokenGrant[];
  /** Whether the accounts came from another daemon a short time ago. */
  readonly isMoved: boolean;
}

/** What the account daemon answers. */
export type QuotaReply =
  | QuotaAnswer
  /** By its directory, another daemon holds the group's accounts. */
  | { readonly kind: "not-account" };

/**
 * Formats a message to an account daemon.
 *
 * @param report The message.
 * @returns The head of a frame.
 *
 * @example
 * ```ts ignore
 * const head = formatQuotaReport(report);
 * ```
 */
export function formatQuotaReport(report: QuotaReport): string {
  return HEAD_PREFIX + JSON.stringify([
    report.group,
    report.sender,
    report.epoch,
    report.stampMs,
    report.leaseMs,
    report.releases ? 1 : 0,
    report.demands.map((demand) => [
      demand.organisation,
      demand.waiting,
      roundTenths(demand.demandPerS),
      demand.grantId,
      demand.held,
      demand.returned,
    ]),
  ]);
}

/**
 * Returns whether the head of a frame is a message to an account daemon.
 *
 * @param head The head.
 * @returns Whether {@linkcode parseQuotaReport} may read it.
 *
 * @example
 * ```ts
 * isQuotaHead("quota1 []"); // true
 * ```
 */
export function isQuotaHead(head: string): boolean {
  return head.startsWith(HEAD_PREFIX);
}

/**
 * Parses a message to an account daemon.
 *
 * @param head The head of a frame.
 * @returns The message; `undefined` where it cannot be read.
 *
 * @example
 * ```ts
 * parseQuotaReport("nonsense"); // undefined
 * ```
 */
export function parseQuotaReport(head: string): QuotaReport | undefined {
  const fields = parseFields(head);
  if (fields === undefined) return undefined;
  const [group, sender, epoch, stampMs, leaseMs, releases, rawDemands] = fields;
  const isValid = isText(group) && isText(sender) && isText(epoch) &&
    isNumber(stampMs) && isNumber(leaseMs);
  if (!isValid) return undefined;
  const demands = parseItems(rawDemands)?.map((
    [organisation, [waiting, demandPerS, grantId, held, returned]],
  ): TokenDemand => ({
    organisation,
    waiting: waiting!,
    demandPerS: demandPerS!,
    grantId: grantId!,
    held: held!,
    returned: returned!,
  }));
  if (demands === undefined) return undefined;
  const isRelease = releases === 1;
  return {
    group,
    sender,
    epoch,
    stampMs,
    leaseMs,
    releases: isRelease,
    demands,
  };
}

/**
 * Formats the answer of an account daemon.
 *
 * @param reply The answer.
 * @returns The head of a frame.
 *
 * @example
 * ```ts
 * formatQuotaReply({ kind: "not-account" }); // 'quota1 []'
 * ```
 */
export function formatQuotaReply(reply: QuotaReply): string {
  switch (reply.kind) {
    case "not-account":
      return `${HEAD_PREFIX}[]`;
    case "served":
      return HEAD_PREFIX + JSON.stringify([
        reply.epoch,
        // A lease counts from the stamp, so an earlier one is safe.
        Math.floor(reply.stampMs),
        reply.leaseMs,
        reply.isLeased ? 1 : 0,
        reply.grants.map((grant) => [
          grant.organisation,
          grant.granted,
          grant.advance,
          grant.grantId,
          Math.ceil(grant.emptyMs),
          roundTenths(grant.level),
        ]),
        reply.isMoved ? 1 : 0,
      ]);
  }
}

/**
 * Parses the answer of an account daemon.
 *
 * @param head The head of a frame.
 * @returns The answer; `undefined` where it cannot be read.
 *
 * @example
 * ```ts
 * parseQuotaReply("quota1 []"); // { kind: "not-account" }
 * ```
 */
export function parseQuotaReply(head: string): QuotaReply | undefined {
  const fields = parseFields(head);
  if (fields === undefined) return undefined;
  if (fields.length === 0) return { kind: "not-account" };
  const [epoch, stampMs, leaseMs, isLeased, rawGrants, isMoved] = fields;
  if (!isText(epoch) || !isNumber(stampMs) || !isNumber(leaseMs)) {
    return undefined;
  }
  const grants = parseItems(rawGrants)?.map((
    [organisation, [granted, advance, grantId, emptyMs, level]],
  ): TokenGrant => ({
    organisation,
    granted: granted!,
    advance: advance!,
    grantId: grantId!,
    emptyMs: emptyMs!,
    level: level!,
  }));
  if (grants === undefined) return undefined;
  const flags = { isLeased: isLeased === 1, isMoved: isMoved === 1 };
  return { kind: "served", epoch, stampMs, leaseMs, grants, ...flags };
}

/** Numbers of each demand and of each grant; later versions append theirs. */
const ITEM_NUMBERS = 5;

function parseItems(
  value: unknown,
): readonly (readonly [string, readonly number[]])[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const items: (readonly [string, readonly number[]])[] = [];
  for (const item of value) {
    if (!Array.isArray(item)) return undefined;
    const [organisation, ...rest] = item as unknown[];
    const numbers = rest.slice(0, ITEM_NUMBERS);
    const isValid = isText(organisation) && numbers.length === ITEM_NUMBERS &&
      numbers.every((number) => isNumber(number) && number >= 0);
    if (!isValid) return undefined;
    items.push([organisation, numbers as number[]]);
  }
  return items;
}

function parseFields(head: string): readonly unknown[] | undefined {
  if (!isQuotaHead(head)) return undefined;
  try {
    const fields: unknown = JSON.parse(head.slice(HEAD_PREFIX.length));
    return Array.isArray(fields) ? fields : undefined;
  } catch {
    // Not JSON: no daemon wrote it.
    return undefined;
  }
}

function isText(value: unknown): value is string {
  return typeof value === "string";
}

function isNumber(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value);
}

function roundTenths(value: number): number {
  return Math.round(Math.max(0, value) * 10) / 10;
}
