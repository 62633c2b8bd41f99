import { create } from "@bufbuild/protobuf";
import { LRUCache } from "lru-cache";
import {
  type Quarantine,
  QuarantineSchema,
} from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import {
  SuspectList,
  SUSPICION_MS,
  Verdict,
  type VerdictThresholds,
} from "./suspect_list.ts";

/** Two crashes, one of them with no other suspect. */
const THRESHOLDS: VerdictThresholds = { ends: 2, loneEnds: 1 };
/** Duration of a suspicion or a quarantine, in ms. */
export const QUARANTINE_MS = SUSPICION_MS;
/** Time for which a served request protects its fingerprint, in ms. */
const KNOWN_GOOD_MS = 120_000;
/**
 * Time for which this daemon refuses a request that it has itself sent to two
 * servers that crashed, in ms: until the reports of these servers' daemons say
 * what else was in flight.
 */
const OWN_REFUSAL_MS = 5_000;
/** Maximum number of fingerprints whose services are stored. */
const MAX_SUSPECTS = 10_000;
/** Maximum number of fingerprints stored as known good. */
const MAX_KNOWN_GOOD = 20_000;

/**
 * Fingerprints of requests that were in flight when backend servers crashed, as
 * the daemons of `src/daemon` exchange them.
 *
 * Each request in flight at a crash is a suspect, unless a request with the
 * same fingerprint was served recently: a request that crashes every server is
 * never served. {@linkcode SuspectList} decides from when it is quarantined.
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
  #hasChanged = false;
  readonly #suspects = new SuspectList(
    () => this.#hasChanged = true,
    THRESHOLDS,
  );
  readonly #services = new LRUCache<string, string>({ max: MAX_SUSPECTS });
  /** Ids of the crashes of calls that this daemon has sent. */
  readonly #ownCrashes = new LRUCache<string, ReadonlySet<string>>({
    max: MAX_SUSPECTS,
    ttl: OWN_REFUSAL_MS,
  });
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
   * @param nowMs Monotonic time, in ms.
   * @returns The message to the other daemons; `undefined` without a suspicion.
   */
  recordSuccess(
    fingerprint: string,
    nowMs = performance.now(),
  ): Quarantine | undefined {
    this.#knownGood.set(fingerprint, true);
    this.#ownCrashes.delete(fingerprint);
    if (!this.isSuspect(fingerprint, nowMs)) return undefined;
    this.#suspects.recordServed(fingerprint, nowMs);
    const service = this.#services.get(fingerprint) ?? "";
    return create(QuarantineSchema, { fingerprint, service });
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
    const fingerprints = crash.fingerprints
      .filter((fingerprint) => !this.#knownGood.has(fingerprint));
    return this.#suspects
      .recordEnd({ id: crash.id, fingerprints }, crash.service, nowMs)
      .flatMap((fingerprint) => {
        this.#services.set(fingerprint, crash.service);
        return this.toMessage(fingerprint, nowMs) ?? [];
      });
  }

  /**
   * Records a crash of which one call in flight is known, and others may not be.
   *
   * @param crash Unique id, service and the fingerprint of the call.
   * @param nowMs Monotonic time, in ms.
   */
  recordCrashOf(
    crash: {
      readonly id: string;
      readonly service: string;
      readonly fingerprint: string;
    },
    nowMs: number,
  ): void {
    const { id, service, fingerprint } = crash;
    if (this.#knownGood.has(fingerprint)) return;
    const ids = this.#ownCrashes.get(fingerprint) ?? [];
    this.#ownCrashes.set(fingerprint, new Set([...ids, id]));
    this.merge(
      create(QuarantineSchema, {
        fingerprint,
        service,
        crashIds: [id],
        remainingMs: QUARANTINE_MS,
      }),
      nowMs,
    );
  }

  /**
   * Merges a suspicion of another daemon, or its end.
   *
   * @param message The suspicion; a message without crash ids ends it.
   * @param nowMs Monotonic time, in ms.
   * @returns Whether it changed the list.
   */
  merge(message: Quarantine, nowMs: number): boolean {
    const { fingerprint, service, crashIds, loneCrashIds } = message;
    if (crashIds.length === 0) {
      return this.recordSuccess(fingerprint, nowMs) !== undefined;
    }
    if (this.#knownGood.has(fingerprint)) return false;
    const loneIds = new Set(loneCrashIds);
    const evidence = crashIds.map((id) => ({
      id,
      isLone: loneIds.has(id),
      remainingMs: message.remainingMs,
    }));
    this.#hasChanged = false;
    this.#suspects.merge(fingerprint, evidence, service, nowMs);
    if (this.#hasChanged) this.#services.set(fingerprint, service);
    return this.#hasChanged;
  }

  /**
   * Returns whether requests with a fingerprint are refused.
   *
   * @param fingerprint The fingerprint.
   * @param nowMs Monotonic time, in ms.
   * @returns Whether it was in flight at two crashes, at one of them alone, or
   * this daemon has just sent it to two servers that crashed.
   */
  isQuarantined(fingerprint: string, nowMs: number): boolean {
    if (this.#suspects.size === 0) return false;
    const ownCrashes = this.#ownCrashes.get(fingerprint)?.size ?? 0;
    if (ownCrashes >= THRESHOLDS.ends) return true;
    const { verdict } = this.#suspects.judge(fingerprint, nowMs);
    return verdict === Verdict.Quarantined;
  }

  /**
   * Returns whether a fingerprint was in flight at a crash.
   *
   * @param fingerprint The fingerprint.
   * @param nowMs Monotonic time, in ms.
   * @returns Whether it is suspected.
   */
  isSuspect(fingerprint: string, nowMs: number): boolean {
    if (this.#suspects.size === 0) return false;
    return this.#suspects.judge(fingerprint, nowMs).verdict !== Verdict.Clear;
  }

  /**
   * Returns the suspicion of a fingerprint as a message.
   *
   * @param fingerprint The fingerprint.
   * @param nowMs Monotonic time, in ms.
   * @returns The message; `undefined` without a suspicion.
   */
  toMessage(fingerprint: string, nowMs: number): Quarantine | undefined {
    const evidence = this.#suspects.evidenceOf(fingerprint, nowMs);
    if (evidence.length === 0) return undefined;
    return create(QuarantineSchema, {
      fingerprint,
      service: this.#services.get(fingerprint) ?? "",
      crashIds: evidence.map(({ id }) => id),
      loneCrashIds: evidence.filter(({ isLone }) => isLone)
        .map(({ id }) => id),
      remainingMs: Math.ceil(
        Math.max(...evidence.map(({ remainingMs }) => remainingMs)),
      ),
    });
  }

  /**
   * Returns all quarantined fingerprints, as messages to a new daemon.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The messages.
   */
  quarantined(nowMs: number): Quarantine[] {
    this.#suspects.expire(nowMs);
    return [...this.#services.keys()]
      .filter((fingerprint) => this.isQuarantined(fingerprint, nowMs))
      .flatMap((fingerprint) => this.toMessage(fingerprint, nowMs) ?? []);
  }
}
