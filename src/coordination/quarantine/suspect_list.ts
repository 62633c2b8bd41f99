import { LRUCache } from "lru-cache";
import type { EndEvidence } from "../../protocol/end_evidence.ts";

/** Number of ends at which a verdict is reached. */
export interface VerdictThresholds {
  /** From which a request is no longer run freely. */
  readonly ends: number;
  /**
   * From which it is refused, counting those with no other suspect: a request
   * that happened to run beside the cause has others beside it.
   */
  readonly loneEnds: number;
}

const DEFAULT_THRESHOLDS: VerdictThresholds = { ends: 3, loneEnds: 2 };
/** Duration of a suspicion, in ms. */
export const SUSPICION_MS = 600_000;
/** Time for which a served request is not suspected of an end, in ms. */
const KNOWN_GOOD_MS = 120_000;
/** Largest number of fingerprints with evidence. */
const MAX_SUSPECTS = 10_000;
/** Largest number of suspects of one end. */
export const MAX_SUSPECTS_PER_END = 64;

/** What the evidence against a request says. */
export enum Verdict {
  Clear = "clear",
  /** It runs beside no other suspect. */
  Suspected = "suspected",
  /** The same, on one backend server of the fleet only. */
  OnTrial = "on-trial",
  /** It does not run. */
  Quarantined = "quarantined",
}

/** The verdict on a request. */
export interface Judgement {
  readonly fingerprint: string;
  readonly verdict: Verdict;
  /** Number of ends that it is suspected of. */
  readonly ends: number;
  /** Time until the last suspicion ends, in ms. */
  readonly remainingMs: number;
}

/** Why a suspicion ended. */
export enum SuspicionEnd {
  /** A backend server answered the request. */
  Served = "served",
  Expired = "expired",
  /** An operator lifted it. */
  Exempted = "exempted",
}

/** A change of what is known about a request. */
export type SuspicionChange =
  | {
    readonly kind: "suspected";
    readonly judgement: Judgement;
    readonly end: string;
    readonly isLone: boolean;
    /** Instance or address that reported it. */
    readonly origin: string;
  }
  | {
    readonly kind: "ended";
    readonly fingerprint: string;
    readonly reason: SuspicionEnd;
  };

interface End {
  readonly isLone: boolean;
  readonly untilMs: number;
}

interface Suspect {
  /** Unexpired ends by id, including those from before it was served. */
  readonly ends: Map<string, End>;
  /** Ids of the ends from before it was served. */
  readonly clearedIds: Set<string>;
  servedAtMs: number;
}

/**
 * Requests that were running when backend processes ended, by fingerprint.
 *
 * At an end, all that ran is suspected, except what was served lately; if
 * suspects of earlier ends ran, only these are. A suspect runs beside no other,
 * so that a further end has only one suspect. A request is refused after a
 * number of ends, some of them with no other suspect; by default three and two.
 * It is cleared once it is served.
 *
 * @example
 * ```ts
 * const list = new SuspectList(() => {});
 * list.recordEnd({ id: "i-1@5", fingerprints: ["f"] }, "a-1", 0); // ["f"]
 * list.judge("f", 0).verdict; // "suspected"
 * ```
 */
export class SuspectList {
  readonly #onChange: (change: SuspicionChange) => void;
  readonly #thresholds: VerdictThresholds;
  readonly #suspects = new LRUCache<string, Suspect>({ max: MAX_SUSPECTS });
  #exempt: ReadonlySet<string> = new Set();

  /**
   * Creates an empty list.
   *
   * @param onChange Called with each change, during the call that caused it.
   * @param thresholds Numbers of ends to a verdict.
   */
  constructor(
    onChange: (change: SuspicionChange) => void,
    thresholds = DEFAULT_THRESHOLDS,
  ) {
    this.#onChange = onChange;
    this.#thresholds = thresholds;
  }

  /** Number of fingerprints that are or were suspected. */
  get size(): number {
    return this.#suspects.size;
  }

  /**
   * Records the end of a backend process.
   *
   * @param end Its id and the fingerprints of what it was running.
   * @param origin Instance of the process.
   * @param nowMs Monotonic time, in ms.
   * @returns The fingerprints that are suspected of it.
   */
  recordEnd(
    end: { readonly id: string; readonly fingerprints: readonly string[] },
    origin: string,
    nowMs: number,
  ): string[] {
    const unserved = [...new Set(end.fingerprints)].filter((fingerprint) => {
      const suspect = this.#suspects.get(fingerprint);
      return !this.#exempt.has(fingerprint) &&
        (suspect === undefined || nowMs - suspect.servedAtMs > KNOWN_GOOD_MS);
    });
    const known = unserved.filter((fingerprint) =>
      this.judge(fingerprint, nowMs).verdict !== Verdict.Clear
    );
    const suspected = (known.length > 0 ? known : unserved)
      .slice(0, MAX_SUSPECTS_PER_END);
    const evidence = {
      id: end.id,
      isLone: suspected.length === 1,
      remainingMs: SUSPICION_MS,
    };
    for (const fingerprint of suspected) {
      this.merge(fingerprint, [evidence], origin, nowMs);
    }
    return suspected;
  }

  /**
   * Merges evidence of another daemon.
   *
   * @param fingerprint The fingerprint of the request.
   * @param evidence The evidence.
   * @param origin Instance or address that reported it.
   * @param nowMs Monotonic time, in ms.
   */
  merge(
    fingerprint: string,
    evidence: readonly EndEvidence[],
    origin: string,
    nowMs: number,
  ): void {
    for (const { id, isLone, remainingMs } of evidence) {
      const suspect = this.#suspects.get(fingerprint) ??
        { ends: new Map(), clearedIds: new Set(), servedAtMs: -Infinity };
      const known = suspect.ends.get(id);
      // Who saw one call only cannot tell that others ran as well.
      if (known !== undefined && (known.isLone || !isLone)) continue;
      const untilMs = nowMs + Math.min(remainingMs, SUSPICION_MS);
      suspect.ends.set(id, { isLone, untilMs });
      this.#suspects.set(fingerprint, suspect);
      const judgement = this.judge(fingerprint, nowMs);
      this.#onChange({ kind: "suspected", judgement, end: id, isLone, origin });
    }
  }

  /**
   * Records that a backend server answered a request, which clears it of all
   * ends until then.
   *
   * @param fingerprint The fingerprint of the request.
   * @param nowMs Monotonic time, in ms.
   */
  recordServed(fingerprint: string, nowMs: number): void {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) return;
    const wasSuspected =
      this.judge(fingerprint, nowMs).verdict !== Verdict.Clear;
    suspect.servedAtMs = nowMs;
    for (const id of suspect.ends.keys()) suspect.clearedIds.add(id);
    if (wasSuspected) this.#reportEnded(fingerprint, SuspicionEnd.Served);
  }

  /**
   * Judges a request by the evidence against it.
   *
   * @param fingerprint The fingerprint of the request.
   * @param nowMs Monotonic time, in ms.
   * @returns The verdict and what it rests on.
   */
  judge(fingerprint: string, nowMs: number): Judgement {
    const ends = this.#exempt.has(fingerprint)
      ? []
      : this.#activeEnds(fingerprint, nowMs).map(([, end]) => end);
    const loneEnds = ends.filter(({ isLone }) => isLone).length;
    const untilMs = Math.max(nowMs, ...ends.map((end) => end.untilMs));
    return {
      fingerprint,
      verdict: this.#decideVerdict(ends.length, loneEnds),
      ends: ends.length,
      remainingMs: untilMs - nowMs,
    };
  }

  /**
   * Returns the evidence against a request, for other daemons.
   *
   * @param fingerprint The fingerprint of the request.
   * @param nowMs Monotonic time, in ms.
   * @returns The evidence; empty if it is not suspected.
   */
  evidenceOf(fingerprint: string, nowMs: number): EndEvidence[] {
    return this.#activeEnds(fingerprint, nowMs).map(([id, end]) => ({
      id,
      isLone: end.isLone,
      remainingMs: end.untilMs - nowMs,
    }));
  }

  /**
   * Sets the requests that are never suspected.
   *
   * @param fingerprints The fingerprints of all of them.
   * @param nowMs Monotonic time, in ms.
   */
  setExempt(fingerprints: Iterable<string>, nowMs: number): void {
    const exempt = new Set(fingerprints);
    const lifted = [...exempt].filter((fingerprint) =>
      this.judge(fingerprint, nowMs).verdict !== Verdict.Clear
    );
    this.#exempt = exempt;
    for (const fingerprint of lifted) {
      this.#reportEnded(fingerprint, SuspicionEnd.Exempted);
    }
  }

  /**
   * Forgets the evidence that has expired.
   *
   * @param nowMs Monotonic time, in ms.
   */
  expire(nowMs: number): void {
    for (const [fingerprint, suspect] of [...this.#suspects.entries()]) {
      const { ends, clearedIds } = suspect;
      const wasSuspected = ends.size > clearedIds.size;
      for (const [id, { untilMs }] of [...ends]) {
        if (untilMs > nowMs) continue;
        ends.delete(id);
        clearedIds.delete(id);
      }
      if (wasSuspected && ends.size === clearedIds.size) {
        this.#reportEnded(fingerprint, SuspicionEnd.Expired);
      }
      if (ends.size === 0) this.#suspects.delete(fingerprint);
    }
  }

  #activeEnds(fingerprint: string, nowMs: number): [string, End][] {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) return [];
    return [...suspect.ends].filter(([id, { untilMs }]) =>
      untilMs > nowMs && !suspect.clearedIds.has(id)
    );
  }

  #decideVerdict(ends: number, loneEnds: number): Verdict {
    if (ends === 0) return Verdict.Clear;
    if (ends < this.#thresholds.ends) return Verdict.Suspected;
    return loneEnds < this.#thresholds.loneEnds
      ? Verdict.OnTrial
      : Verdict.Quarantined;
  }

  #reportEnded(fingerprint: string, reason: SuspicionEnd): void {
    this.#onChange({ kind: "ended", fingerprint, reason });
  }
}
