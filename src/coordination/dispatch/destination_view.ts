import {
  type CallOutcome,
  type DestinationLoad,
  MeshReason,
} from "../../protocol/mesh_call.ts";
import { Ejection } from "../routing/ejection.ts";
import { FadingAverage } from "./fading_average.ts";
import { ServiceTimes } from "./service_times.ts";

/** Time after which a load report has lost most of its weight, in ms. */
const REPORT_MEMORY_MS = 300;
/** Weight of the newest outcome in the share of failures. */
const FAILURE_WEIGHT = 0.1;
/** Time in which a share of failures halves without new ones, in ms. */
const FAILURE_HALF_LIFE_MS = 2_000;
/** Slowdown of a backend server whose slots are all taken. */
const CROWDING_SHARE = 0.25;
/** Longest time for which a destination out of reach is not tried, in ms. */
const MAX_UNREACHABLE_MS = 2_000;

/** Refusals of a daemon whose backend server is not there. */
const ABSENT_REASONS: ReadonlySet<MeshReason> = new Set([
  MeshReason.Unreachable,
  MeshReason.NoBackend,
  MeshReason.Replaced,
]);

interface RouteWait {
  readonly waitMs: number;
  readonly atMs: number;
  /** Requests of this daemon that joined the queue since. */
  sentSince: number;
}

/**
 * What this daemon knows of one destination, from its own requests to it.
 *
 * @example
 * ```ts ignore
 * view.sent("stock");
 * view.ended("stock", outcome, nowMs);
 * ```
 */
export class DestinationView {
  readonly times = new ServiceTimes();
  readonly #transitMs = new FadingAverage();
  readonly #placeWaitMs = new FadingAverage();
  readonly #unreachable = new Ejection(MAX_UNREACHABLE_MS);
  #inFlight = 0;
  #load: DestinationLoad | undefined;
  /** Waits by route, as its own answers reported them last. */
  readonly #waits = new Map<string, RouteWait>();
  #reportedAtMs = -Infinity;
  #failureShare = 0;
  #failedAtMs = 0;

  /**
   * Notes that a request goes out.
   *
   * @param route Name of its route.
   */
  sent(route: string): void {
    this.#inFlight++;
    const wait = this.#waits.get(route);
    if (wait !== undefined) wait.sentSince++;
  }

  /**
   * Takes in the outcome of a request.
   *
   * @param route Name of its route.
   * @param outcome The outcome.
   * @param nowMs Monotonic time.
   */
  ended(route: string, outcome: CallOutcome, nowMs: number): void {
    this.#inFlight--;
    switch (outcome.kind) {
      case "answered":
        this.times.learn(route, outcome.serviceMs);
        this.#observe(outcome.answer.status >= 500, nowMs);
        return;
      case "not-run":
        if (outcome.hasReachedBackend || ABSENT_REASONS.has(outcome.reason)) {
          this.#observe(true, nowMs);
        }
        return;
      case "unknown":
        this.#observe(true, nowMs);
    }
  }

  /**
   * Takes in a load report.
   *
   * @param route Name of the route whose request it came with.
   * @param load The report.
   * @param nowMs Monotonic time.
   */
  reported(route: string, load: DestinationLoad, nowMs: number): void {
    this.#load = load;
    this.#reportedAtMs = nowMs;
    this.#waits.set(route, { waitMs: load.waitMs, atMs: nowMs, sentSince: 0 });
    this.#unreachable.forgive();
  }

  /**
   * Takes in how long a request and its answer were on their way. A way through
   * a full link is longer than any queue behind it.
   *
   * @param transitMs The time.
   * @param nowMs Monotonic time.
   */
  travelled(transitMs: number, nowMs: number): void {
    this.#transitMs.add(transitMs, nowMs);
  }

  /**
   * Takes in how long a long body waited for a place on the way.
   *
   * @param waitMs The time.
   * @param nowMs Monotonic time.
   */
  waitedForPlace(waitMs: number, nowMs: number): void {
    this.#placeWaitMs.add(waitMs, nowMs);
  }

  /**
   * Estimates how long a long body waits for a place on the way.
   *
   * @param nowMs Monotonic time.
   * @returns The wait, in ms.
   */
  placeWaitMs(nowMs: number): number {
    return this.#placeWaitMs.at(nowMs);
  }

  /**
   * Notes that the destination could not be reached.
   *
   * @param nowMs Monotonic time.
   */
  unreached(nowMs: number): void {
    if (!this.#unreachable.isActive(nowMs)) this.#unreachable.start(nowMs);
  }

  /** Says whether the destination is out of reach at a monotonic time. */
  isUnreachable(nowMs: number): boolean {
    return this.#unreachable.isActive(nowMs);
  }

  /**
   * Returns the share of recent requests that the backend server failed.
   *
   * @param nowMs Monotonic time.
   * @returns 0 to 1, the larger of the own and the reported share.
   */
  failureShare(nowMs: number): number {
    const own = this.#ownFailureShare(nowMs);
    return Math.max(own, (this.#load?.failureShare ?? 0) * this.#weight(nowMs));
  }

  /**
   * Estimates the time until a new request ends.
   *
   * @param route Name of its route.
   * @param nowMs Monotonic time.
   * @param slots Slots that the backend server announced.
   * @returns The wait and the service time, in ms.
   */
  expected(
    route: string,
    nowMs: number,
    slots: number,
  ): { readonly waitMs: number; readonly serviceMs: number } {
    const serviceMs = this.times.expectedMs(route);
    const limit = Math.max(1, this.#load?.limit ?? slots);
    const weight = this.#weight(nowMs);
    const reported = (this.#load?.running ?? 0) + (this.#load?.queued ?? 0);
    const busy = Math.max(this.#inFlight, reported * weight);
    // A destination close to its limit slows down before requests wait.
    const crowding = Math.min(1, busy / limit) ** 3 * serviceMs *
      CROWDING_SHARE;
    const isFull = busy >= limit;
    return {
      waitMs: this.#waitMs(route, nowMs, isFull ? serviceMs / limit : 0) +
        crowding + this.#transitMs.at(nowMs),
      serviceMs,
    };
  }

  /** The queue is ordered, so the wait of one route says little of another. */
  #waitMs(route: string, nowMs: number, eachMs: number): number {
    const wait = this.#waits.get(route);
    if (wait === undefined) return eachMs;
    const weight = Math.exp((wait.atMs - nowMs) / REPORT_MEMORY_MS);
    return wait.waitMs * weight + wait.sentSince * eachMs;
  }

  #weight(nowMs: number): number {
    return Math.exp(-(nowMs - this.#reportedAtMs) / REPORT_MEMORY_MS);
  }

  #ownFailureShare(nowMs: number): number {
    const ageMs = nowMs - this.#failedAtMs;
    return this.#failureShare * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
  }

  #observe(isFailure: boolean, nowMs: number): void {
    const current = this.#ownFailureShare(nowMs);
    this.#failureShare = current +
      ((isFailure ? 1 : 0) - current) * FAILURE_WEIGHT;
    this.#failedAtMs = nowMs;
  }
}
