import type { Member } from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import type { AdmissionLoad } from "../admission/admission_queue.ts";
import { Ejection } from "./ejection.ts";

/** Weight of the newest latency if it is below the average. */
const DECAY_WEIGHT = 0.1;
/** Assumed latency of an endpoint without samples, in ms. */
const INITIAL_LATENCY_MS = 5;
/**
 * Bounds of the validity of a load report, in ms. Within them it is valid for
 * one latency, as most calls that ran at its time have ended by then.
 */
const MIN_LOAD_TTL_MS = 20;
const MAX_LOAD_TTL_MS = 500;
/** Longest time for which an unreachable endpoint is not tried, in ms. */
const MAX_UNREACHABLE_MS = 4_000;
/**
 * Time for which a response confirms that an endpoint is reachable, in ms: as
 * long as an unreachable endpoint is left out the first time.
 */
const REACHABILITY_TTL_MS = 1_000;
/** Smallest weight of a newly ready endpoint during slow start. */
const MIN_SLOW_START_WEIGHT = 0.1;

/**
 * A backend server with the state that this daemon's own calls observed.
 *
 * @example
 * ```ts ignore
 * const endpoint = new Endpoint(member, performance.now());
 * endpoint.recordSuccess(12);
 * ```
 */
export class Endpoint {
  member: Member;
  /** Number of this daemon's calls in flight. */
  running = 0;
  /** Peak-sensitive moving average of the latency, in ms. */
  latencyMs = INITIAL_LATENCY_MS;
  #load: AdmissionLoad | undefined;
  #loadUntilMs = 0;
  #reachableUntilMs = 0;
  #isPathSuspect = false;
  #readySinceMs: number;
  readonly #ejection = new Ejection();
  readonly #unreachable = new Ejection(MAX_UNREACHABLE_MS);
  #failures = 0;

  /**
   * Creates an endpoint without samples.
   *
   * @param member The member's record.
   * @param nowMs Monotonic time, in ms.
   */
  constructor(member: Member, nowMs: number) {
    this.member = member;
    this.#readySinceMs = nowMs;
  }

  /**
   * Replaces the member's record; a restart begins a new slow start.
   *
   * @param member The record.
   * @param nowMs Monotonic time, in ms.
   */
  update(member: Member, nowMs: number): void {
    const hasRestarted = member.readyAtMs !== this.member.readyAtMs;
    if (hasRestarted) this.#readySinceMs = nowMs;
    this.member = member;
  }

  /**
   * Records a successful call.
   *
   * @param latencyMs Time to the first byte of the response, in ms.
   */
  recordSuccess(latencyMs: number): void {
    this.#failures = 0;
    this.#ejection.resetBackoff();
    this.#unreachable.resetBackoff();
    this.latencyMs = latencyMs > this.latencyMs
      ? (this.latencyMs + latencyMs) / 2
      : this.latencyMs + (latencyMs - this.latencyMs) * DECAY_WEIGHT;
  }

  /**
   * Records a failed call and ejects the endpoint after several consecutive
   * failures.
   *
   * @param failuresToEject Number of consecutive failures that eject.
   * @param nowMs Monotonic time, in ms.
   * @returns Whether this call ejected the endpoint.
   */
  recordFailure(failuresToEject: number, nowMs: number): boolean {
    this.#failures++;
    if (this.#failures < failuresToEject || this.isEjected(nowMs)) return false;
    this.#ejection.start(nowMs);
    return true;
  }

  /**
   * Records that the endpoint's daemon did not respond.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Whether the endpoint was considered reachable until now.
   */
  recordUnreachable(nowMs: number): boolean {
    this.markPathSuspect();
    if (this.isUnreachable(nowMs)) return false;
    this.#unreachable.start(nowMs);
    return true;
  }

  /** Returns whether the endpoint is left out as unreachable at `nowMs`. */
  isUnreachable(nowMs: number): boolean {
    return this.#unreachable.isActive(nowMs);
  }

  /** Records that the network path to the endpoint may be broken. */
  markPathSuspect(): void {
    this.#reachableUntilMs = 0;
    this.#isPathSuspect = true;
  }

  /** Whether the network path may be broken, with no response since. */
  get isPathSuspect(): boolean {
    return this.#isPathSuspect;
  }

  /** Returns whether a response confirms that it is reachable at `nowMs`. */
  isConfirmedReachable(nowMs: number): boolean {
    return nowMs < this.#reachableUntilMs;
  }

  /** Returns whether the endpoint is ejected at a monotonic time. */
  isEjected(nowMs: number): boolean {
    return this.#ejection.isActive(nowMs);
  }

  /**
   * Records the load report of a response, which also confirms that the
   * endpoint is reachable.
   *
   * @param load The report, which is valid for a short time.
   * @param nowMs Monotonic time, in ms.
   */
  recordLoad(load: AdmissionLoad, nowMs: number): void {
    this.#load = load;
    this.#reachableUntilMs = nowMs + REACHABILITY_TTL_MS;
    this.#isPathSuspect = false;
    const ttlMs = Math.max(MIN_LOAD_TTL_MS, this.latencyMs);
    this.#loadUntilMs = nowMs + Math.min(MAX_LOAD_TTL_MS, ttlMs);
  }

  /**
   * Estimates the utilization by the calls of this daemon and of others.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Running and queued calls as a share of the slots.
   */
  utilization(nowMs: number): number {
    const { running, queued, limit } = this.#estimateLoad(nowMs);
    return (running + queued) / Math.max(1, limit);
  }

  /**
   * Estimates the cost of one more call.
   *
   * @param slowStartMs Duration of the slow start, in ms; 0 for none.
   * @param nowMs Monotonic time, in ms.
   * @returns The cost, for comparison with other endpoints.
   */
  cost(slowStartMs: number, nowMs: number): number {
    // The root limits the influence of latency, as it includes past queueing,
    // which the load shows more precisely and sooner.
    const loadFactor = (1 + this.utilization(nowMs)) ** 2;
    const latencyFactor = Math.sqrt(this.latencyMs);
    return latencyFactor * loadFactor /
      this.#slowStartWeight(slowStartMs, nowMs);
  }

  #estimateLoad(nowMs: number): AdmissionLoad {
    const load = nowMs < this.#loadUntilMs ? this.#load : undefined;
    return {
      running: Math.max(this.running, load?.running ?? 0),
      queued: load?.queued ?? 0,
      limit: load?.limit ?? this.member.slots,
    };
  }

  #slowStartWeight(slowStartMs: number, nowMs: number): number {
    if (slowStartMs === 0) return 1;
    const elapsedShare = (nowMs - this.#readySinceMs) / slowStartMs;
    return Math.min(1, Math.max(MIN_SLOW_START_WEIGHT, elapsedShare));
  }
}
