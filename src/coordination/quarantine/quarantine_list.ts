import { create } from "@bufbuild/protobuf";
import { LRUCache } from "lru-cache";
import {
  type Quarantine,
  QuarantineSchema,
} from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";

/** Crashes after which requests with a fingerprint are refused. */
export const CRASHES_TO_QUARANTINE = 2;
/** Time for which a suspicion or a quarantine stands, in ms. */
export const QUARANTINE_MS = 600_000;
/** Time for which a served request clears its fingerprint, in ms. */
const EXONERATION_MS = 120_000;
/** Most fingerprints under suspicion. */
const MAX_SUSPECTS = 10_000;
/** Most fingerprints of successful requests that are remembered. */
const MAX_EXONERATED = 20_000;

interface Suspect {
  readonly service: string;
  readonly crashIds: readonly string[];
  readonly untilMs: number;
}

/**
 * Requests that were in flight when backend servers crashed.
 *
 * Each request in flight at a crash is a suspect, unless a request with the
 * same fingerprint was served: what crashes each server that runs it is never
 * served. A fingerprint seen at a second crash is refused until a deadline.
 *
 * Counting is local and only verdicts travel, as in Abuse Guard's fleet mode.
 *
 * @example
 * ```ts
 * const list = new QuarantineList();
 * list.isRefused("f", 0); // false
 * ```
 */
export class QuarantineList {
  readonly #suspects = new LRUCache<string, Suspect>({ max: MAX_SUSPECTS });
  readonly #exonerated = new LRUCache<string, true>({
    max: MAX_EXONERATED,
    ttl: EXONERATION_MS,
  });

  /** Number of fingerprints under suspicion. */
  get size(): number {
    return this.#suspects.size;
  }

  /**
   * Records that a request was served.
   *
   * @param fingerprint Its fingerprint.
   * @returns What to tell the other daemons, where it was under suspicion.
   */
  recordSuccess(fingerprint: string): Quarantine | undefined {
    this.#exonerated.set(fingerprint, true);
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) return undefined;
    this.#suspects.delete(fingerprint);
    return create(QuarantineSchema, { fingerprint, service: suspect.service });
  }

  /**
   * Records a crash.
   *
   * @param crash Unique id, service and the fingerprints in flight.
   * @param nowMs Monotonic time.
   * @returns What to tell the other daemons.
   */
  recordCrash(
    crash: {
      readonly id: string;
      readonly service: string;
      readonly fingerprints: readonly string[];
    },
    nowMs: number,
  ): Quarantine[] {
    return crash.fingerprints
      .filter((fingerprint) => !this.#exonerated.has(fingerprint))
      .map((fingerprint) => {
        const message = create(QuarantineSchema, {
          fingerprint,
          service: crash.service,
          crashIds: [crash.id],
          remainingMs: QUARANTINE_MS,
        });
        this.merge(message, nowMs);
        return this.toMessage(fingerprint, nowMs)!;
      });
  }

  /**
   * Takes in a suspicion of another daemon, or its end.
   *
   * @param message The suspicion; one without crashes ends it.
   * @param nowMs Monotonic time.
   * @returns Whether it was news.
   */
  merge(message: Quarantine, nowMs: number): boolean {
    if (message.crashIds.length === 0) {
      return this.recordSuccess(message.fingerprint) !== undefined;
    }
    if (this.#exonerated.has(message.fingerprint)) return false;
    const known = this.#current(message.fingerprint, nowMs);
    const crashIds = [
      ...new Set([...known?.crashIds ?? [], ...message.crashIds]),
    ].slice(0, CRASHES_TO_QUARANTINE);
    if (crashIds.length === known?.crashIds.length) return false;
    const remainingMs = Math.min(message.remainingMs, QUARANTINE_MS);
    this.#suspects.set(message.fingerprint, {
      service: message.service,
      crashIds,
      untilMs: nowMs + remainingMs,
    });
    return true;
  }

  /**
   * Says whether requests with a fingerprint are refused.
   *
   * @param fingerprint The fingerprint.
   * @param nowMs Monotonic time.
   * @returns Whether it was in flight at two crashes.
   */
  isQuarantined(fingerprint: string, nowMs: number): boolean {
    if (this.#suspects.size === 0) return false;
    const suspect = this.#current(fingerprint, nowMs);
    return (suspect?.crashIds.length ?? 0) >= CRASHES_TO_QUARANTINE;
  }

  /**
   * Says whether a fingerprint was in flight at a crash.
   *
   * @param fingerprint The fingerprint.
   * @param nowMs Monotonic time.
   * @returns Whether it is under suspicion.
   */
  isSuspect(fingerprint: string, nowMs: number): boolean {
    return this.#current(fingerprint, nowMs) !== undefined;
  }

  /**
   * Returns what is known of a fingerprint as a message.
   *
   * @param fingerprint The fingerprint.
   * @param nowMs Monotonic time.
   * @returns The message, or `undefined` where there is no suspicion.
   */
  toMessage(fingerprint: string, nowMs: number): Quarantine | undefined {
    const suspect = this.#current(fingerprint, nowMs);
    return suspect && create(QuarantineSchema, {
      fingerprint,
      service: suspect.service,
      crashIds: [...suspect.crashIds],
      remainingMs: Math.ceil(suspect.untilMs - nowMs),
    });
  }

  /**
   * Returns all fingerprints that are refused, as messages for a newcomer.
   *
   * @param nowMs Monotonic time.
   * @returns The messages.
   */
  quarantined(nowMs: number): Quarantine[] {
    return [...this.#suspects.keys()]
      .filter((fingerprint) => this.isQuarantined(fingerprint, nowMs))
      .flatMap((fingerprint) => this.toMessage(fingerprint, nowMs) ?? []);
  }

  #current(fingerprint: string, nowMs: number): Suspect | undefined {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) return undefined;
    if (suspect.untilMs > nowMs) return suspect;
    this.#suspects.delete(fingerprint);
    return undefined;
  }
}
