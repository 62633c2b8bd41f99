import type { Member } from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import type { AdmissionLoad } from "../admission/admission_queue.ts";
import { Ejection } from "./ejection.ts";

/** Weight of the newest latency where it is below the average. */
const DECAY_WEIGHT = 0.1;
/** Latency assumed of an endpoint without evidence, in ms. */
const INITIAL_LATENCY_MS = 5;
/**
 * Bounds of the time for which a load report counts, in ms: as long as a call
 * takes, since most of what ran at the report has ended by then.
 */
const MIN_LOAD_MEMORY_MS = 20;
const MAX_LOAD_MEMORY_MS = 500;
/** Longest time for which an endpoint out of reach is not tried, in ms. */
const MAX_UNREACHABLE_MS = 4_000;
/**
 * Time for which an answer proves that an endpoint is in reach, in ms: as long
 * as one out of reach is left out at first.
 */
const PROOF_MS = 1_000;
/** Share of full weight with which a newly ready endpoint starts. */
const SLOW_START_FLOOR = 0.1;

/**
 * A backend server as this daemon's own calls see it.
 *
 * @example
 * ```ts ignore
 * const endpoint = new Endpoint(member, performance.now());
 * endpoint.succeeded(12);
 * ```
 */
export class Endpoint {
  member: Member;
  /** Calls of this daemon in flight. */
  running = 0;
  /** Peak-sensitive average latency, in ms. */
  latencyMs = INITIAL_LATENCY_MS;
  #load: AdmissionLoad | undefined;
  #loadUntilMs = 0;
  #provenUntilMs = 0;
  #isDoubtful = false;
  #readySinceMs: number;
  readonly #ejection = new Ejection();
  readonly #unreachable = new Ejection(MAX_UNREACHABLE_MS);
  #failures = 0;

  /**
   * Creates an endpoint without evidence.
   *
   * @param member Its member.
   * @param nowMs Monotonic time.
   */
  constructor(member: Member, nowMs: number) {
    this.member = member;
    this.#readySinceMs = nowMs;
  }

  /**
   * Takes in a new record of the member.
   *
   * @param member The record.
   * @param nowMs Monotonic time.
   */
  update(member: Member, nowMs: number): void {
    const restarted = member.readyAtMs !== this.member.readyAtMs;
    if (restarted) this.#readySinceMs = nowMs;
    this.member = member;
  }

  /**
   * Records a successful call.
   *
   * @param latencyMs Time to the first byte of the answer.
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
   * Records a failed call and ejects the endpoint after several in a row.
   *
   * @param failuresToEject Failures in a row that eject.
   * @param nowMs Monotonic time.
   * @returns Whether the endpoint was ejected now.
   */
  recordFailure(failuresToEject: number, nowMs: number): boolean {
    this.#failures++;
    if (this.#failures < failuresToEject || this.isEjected(nowMs)) return false;
    this.#ejection.start(nowMs);
    return true;
  }

  /**
   * Records that the endpoint's daemon did not answer.
   *
   * @param nowMs Monotonic time.
   * @returns Whether it counted as in reach until now.
   */
  recordUnreachable(nowMs: number): boolean {
    this.markPathSuspect();
    if (this.isUnreachable(nowMs)) return false;
    this.#unreachable.start(nowMs);
    return true;
  }

  /** Says whether the endpoint is out of reach at a monotonic time. */
  isUnreachable(nowMs: number): boolean {
    return this.#unreachable.isActive(nowMs);
  }

  /** Records that the way to the endpoint may be cut. */
  markPathSuspect(): void {
    this.#provenUntilMs = 0;
    this.#isDoubtful = true;
  }

  /** Whether the way may be cut, and nothing came over it since. */
  get isPathSuspect(): boolean {
    return this.#isDoubtful;
  }

  /** Says whether an answer proves that it is in reach at a monotonic time. */
  isConfirmedReachable(nowMs: number): boolean {
    return nowMs < this.#provenUntilMs;
  }

  /** Says whether the endpoint is ejected at a monotonic time. */
  isEjected(nowMs: number): boolean {
    return this.#ejection.isActive(nowMs);
  }

  /**
   * Takes in a report that came with an answer, which proves that the
   * endpoint is in reach.
   *
   * @param load The report, which counts for a short while.
   * @param nowMs Monotonic time.
   */
  recordLoad(load: AdmissionLoad, nowMs: number): void {
    this.#load = load;
    this.#provenUntilMs = nowMs + PROOF_MS;
    this.#isDoubtful = false;
    const memoryMs = Math.max(MIN_LOAD_MEMORY_MS, this.latencyMs);
    this.#loadUntilMs = nowMs + Math.min(MAX_LOAD_MEMORY_MS, memoryMs);
  }

  /**
   * Estimates how busy the endpoint is, by this daemon's calls and others'.
   *
   * @param nowMs Monotonic time.
   * @returns Running and waiting calls as a share of the slots.
   */
  utilization(nowMs: number): number {
    const { running, queued, limit } = this.#estimate(nowMs);
    return (running + queued) / Math.max(1, limit);
  }

  /**
   * Estimates the cost of one more call.
   *
   * @param slowStartMs Time to full weight.
   * @param nowMs Monotonic time.
   * @returns A number to compare with other endpoints'.
   */
  cost(slowStartMs: number, nowMs: number): number {
    // The latency holds past queueing, which the load tells better and sooner.
    const load = (1 + this.utilization(nowMs)) ** 2;
    const slowness = Math.sqrt(this.latencyMs);
    return slowness * load / this.#weight(slowStartMs, nowMs);
  }

  #estimate(nowMs: number): AdmissionLoad {
    const load = nowMs < this.#loadUntilMs ? this.#load : undefined;
    return {
      running: Math.max(this.running, load?.running ?? 0),
      queued: load?.queued ?? 0,
      limit: load?.limit ?? this.member.slots,
    };
  }

  #weight(slowStartMs: number, nowMs: number): number {
    if (slowStartMs === 0) return 1;
    const share = (nowMs - this.#readySinceMs) / slowStartMs;
    return Math.min(1, Math.max(SLOW_START_FLOOR, share));
  }
}
