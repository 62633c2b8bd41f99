import { create } from "@bufbuild/protobuf";
import { LRUCache } from "lru-cache";
import {
  type Quarantine,
  QuarantineSchema,
} from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";

/** Number of crashes after which a fingerprint is quarantined. */
export const CRASHES_TO_QUARANTINE = 2;
/** Duration of a suspicion or a quarantine, in ms. */
export const QUARANTINE_MS = 600_000;
/** Time for which a served request protects its fingerprint, in ms. */
const KNOWN_GOOD_MS = 120_000;
/** Maximum number of suspected fingerprints. */
const MAX_SUSPECTS = 10_000;
/** Maximum number of fingerprints stored as known good. */
const MAX_KNOWN_GOOD = 20_000;

interface Suspect {
  readonly service: string;
  readonly crashIds: readonly string[];
  readonly untilMs: number;
}

/**
 * Fingerprints of requests that were in flight when backend servers crashed.
 *
 * Each request in flight at a crash is a suspect, unless a request with the
 * same fingerprint was served recently: a request that crashes every server is
 * never served. After a second crash the fingerprint is quarantined for a time.
 *
 * Each daemon counts crashes locally and shares only suspicions and their ends,
 * as Abuse Guard does in its fleet mode.
 *
 * @example
 * ```ts
 * const list = new QuarantineList();
 * list.isQuarantined("f", 0); // false
 * ```
 */
export class QuarantineList {
  readonly #suspects = new LRUCache<string, Suspect>({ max: MAX_SUSPECTS });
  readonly #knownGood = new LRUCache<string, true>({
    max: MAX_KNOWN_GOOD,
    ttl: KNOWN_GOOD_MS,
  });

  /** Number of suspected fingerprints, including quarantined ones. */
  get size(): number {
    return this.#suspects.size;
  }

  /**
   * Records that a request was served, which ends a suspicion.
   *
   * @param fingerprint Its fingerprint.
   * @returns The message to the other daemons; `undefined` without a suspicion.
   */
  recordSuccess(fingerprint: string): Quarantine | undefined {
    this.#knownGood.set(fingerprint, true);
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) return undefined;
    this.#suspects.delete(fingerprint);
    return create(QuarantineSchema, { fingerprint, service: suspect.service });
  }

  /**
   * Records a crash.
   *
   * @param crash Unique id, service and the fingerprints in flight.
   * @param nowMs Monotonic time, in ms.
   * @returns The messages to the other daemons.
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
      .filter((fingerprint) => !this.#knownGood.has(fingerprint))
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
   * Merges a suspicion of another daemon, or its end.
   *
   * @param message The suspicion; a message without crash ids ends it.
   * @param nowMs Monotonic time, in ms.
   * @returns Whether it changed the list.
   */
  merge(message: Quarantine, nowMs: number): boolean {
    if (message.crashIds.length === 0) {
      return this.recordSuccess(message.fingerprint) !== undefined;
    }
    if (this.#knownGood.has(message.fingerprint)) return false;
    const suspect = this.#unexpiredSuspect(message.fingerprint, nowMs);
    const crashIds = [
      ...new Set([...suspect?.crashIds ?? [], ...message.crashIds]),
    ].slice(0, CRASHES_TO_QUARANTINE);
    if (crashIds.length === suspect?.crashIds.length) return false;
    const remainingMs = Math.min(message.remainingMs, QUARANTINE_MS);
    this.#suspects.set(message.fingerprint, {
      service: message.service,
      crashIds,
      untilMs: nowMs + remainingMs,
    });
    return true;
  }

  /**
   * Returns whether requests with a fingerprint are refused.
   *
   * @param fingerprint The fingerprint.
   * @param nowMs Monotonic time, in ms.
   * @returns Whether it was in flight at two crashes.
   */
  isQuarantined(fingerprint: string, nowMs: number): boolean {
    if (this.#suspects.size === 0) return false;
    const suspect = this.#unexpiredSuspect(fingerprint, nowMs);
    return (suspect?.crashIds.length ?? 0) >= CRASHES_TO_QUARANTINE;
  }

  /**
   * Returns whether a fingerprint was in flight at a crash.
   *
   * @param fingerprint The fingerprint.
   * @param nowMs Monotonic time, in ms.
   * @returns Whether it is suspected.
   */
  isSuspect(fingerprint: string, nowMs: number): boolean {
    return this.#unexpiredSuspect(fingerprint, nowMs) !== undefined;
  }

  /**
   * Returns the suspicion of a fingerprint as a message.
   *
   * @param fingerprint The fingerprint.
   * @param nowMs Monotonic time, in ms.
   * @returns The message; `undefined` without a suspicion.
   */
  toMessage(fingerprint: string, nowMs: number): Quarantine | undefined {
    const suspect = this.#unexpiredSuspect(fingerprint, nowMs);
    return suspect && create(QuarantineSchema, {
      fingerprint,
      service: suspect.service,
      crashIds: [...suspect.crashIds],
      remainingMs: Math.ceil(suspect.untilMs - nowMs),
    });
  }

  /**
   * Returns all quarantined fingerprints, as messages to a new daemon.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The messages.
   */
  quarantined(nowMs: number): Quarantine[] {
    return [...this.#suspects.keys()]
      .filter((fingerprint) => this.isQuarantined(fingerprint, nowMs))
      .flatMap((fingerprint) => this.toMessage(fingerprint, nowMs) ?? []);
  }

  #unexpiredSuspect(fingerprint: string, nowMs: number): Suspect | undefined {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) return undefined;
    if (suspect.untilMs > nowMs) return suspect;
    this.#suspects.delete(fingerprint);
    return undefined;
  }
}
