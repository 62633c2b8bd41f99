/** The end of a backend process while it was running a certain request. */
export interface EndEvidence {
  /** Id of the end, which is unique for each backend process. */
  readonly id: string;
  /** Whether no other request was suspected of the end. */
  readonly isLone: boolean;
  /** Time for which the suspicion holds, in ms. */
  readonly remainingMs: number;
}

/** The end of a backend process, as its local daemon records it. */
export interface EndReport {
  readonly id: string;
  /** Fingerprints of the requests that are suspected of it. */
  readonly fingerprints: readonly string[];
  /** Time until which the suspicion holds, in Unix ms. */
  readonly untilUnixMs: number;
}

/**
 * Prefix of the store keys by which an operator exempts requests from
 * suspicion; a key ends with the fingerprint.
 */
export const EXEMPTION_PREFIX = "sesamepond/exempt/";

const ITEM_SEPARATOR = ",";
const FIELD_SEPARATOR = ":";
const LONE = "1";
const CROWD = "0";
const ITEM_FIELDS = 3;

/**
 * Formats evidence for a field of a message between daemons.
 *
 * @param evidence The evidence.
 * @returns Its text; empty without evidence.
 *
 * @example
 * ```ts
 * formatEvidence([{ id: "i-1@5", isLone: true, remainingMs: 1 }]);
 * // "i-1%405:1:1"
 * ```
 */
export function formatEvidence(evidence: readonly EndEvidence[]): string {
  return evidence.map(({ id, isLone, remainingMs }) =>
    [
      encodeURIComponent(id),
      isLone ? LONE : CROWD,
      Math.ceil(remainingMs),
    ].join(FIELD_SEPARATOR)
  ).join(ITEM_SEPARATOR);
}

/**
 * Parses evidence.
 *
 * @param text Its text, if there is any.
 * @returns The evidence; items that cannot be read are left out.
 *
 * @example
 * ```ts
 * parseEvidence("nonsense"); // []
 * ```
 */
export function parseEvidence(text: string | undefined): EndEvidence[] {
  if (text === undefined || text === "") return [];
  return text.split(ITEM_SEPARATOR).flatMap((item) => {
    const fields = item.split(FIELD_SEPARATOR);
    const remainingMs = Number(fields[2] || NaN);
    const id = fields.length === ITEM_FIELDS ? decode(fields[0]!) : "";
    const isReadable = id !== "" && Number.isFinite(remainingMs) &&
      remainingMs > 0;
    return isReadable ? [{ id, isLone: fields[1] === LONE, remainingMs }] : [];
  });
}

function decode(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    // A malformed escape: no daemon wrote it.
    return "";
  }
}
