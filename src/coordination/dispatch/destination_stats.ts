import {
  type CallOutcome,
  type DestinationLoad,
  MeshReason,
} from "../../protocol/mesh_call.ts";
import { Ejection } from "../routing/ejection.ts";
import { DecayingAverage } from "./decaying_average.ts";
import { BackendPace } from "./backend_pace.ts";
import { MomentaryPace } from "./momentary_pace.ts";
import { MeanPace } from "./mean_pace.ts";
import { ServiceTimes } from "./service_times.ts";
import { DomainLoad } from "./domain_load.ts";
import { UsualLoad } from "./usual_load.ts";
import type { CostDistribution } from "./cost_distribution.ts";
import type { RequestCostKey } from "./request_cost_key.ts";
import { RequestCosts } from "./request_costs.ts";

/** Time constant with which the weight of a load report decays, in ms. */
const REPORT_DECAY_MS = 300;
/** Weight of the newest outcome in the failure share. */
const FAILURE_WEIGHT = 0.1;
/** Half-life of the failure share without new outcomes, in ms. */
const FAILURE_HALF_LIFE_MS = 2_000;
/** Slowdown with all slots busy, as a share of the service time. */
const FULL_LOAD_SLOWDOWN = 0.25;
/** Longest time for which an unreachable destination is not tried, in ms. */
const MAX_UNREACHABLE_MS = 2_000;

const MS_PER_S = 1_000;

/** Refusal reasons which mean that the backend server is absent. */
const ABSENT_REASONS: ReadonlySet<MeshReason> = new Set([
  MeshReason.Unreachable,
  MeshReason.NoBackend,
  MeshReason.Replaced,
]);

interface RouteWait {
  readonly waitMs: number;
  readonly atMs: number;
  /** Requests that this daemon has sent since the report. */
  sentSince: number;
}

/**
 * Statistics of one destination, from this daemon's own requests to it.
 *
 * @example
 * ```ts ignore
 * stats.recordSend("stock");
 * stats.recordOutcome("stock", outcome, nowMs);
 * ```
 */
export class DestinationStats {
  readonly #costs: RequestCosts;
  readonly #domainLoad: DomainLoad;
  readonly #ownLoad: UsualLoad;
  readonly #pace: BackendPace;
  /** For choices by mean times. */
  readonly #meanPace: MeanPace;
  readonly #transitMs = new DecayingAverage();
  readonly #permitWaitMs = new DecayingAverage();
  readonly #momentaryPace = new MomentaryPace();
  readonly #unreachable = new Ejection(MAX_UNREACHABLE_MS);
  #inFlight = 0;
  #load: DestinationLoad | undefined;
  #namedLimitPerS: number | undefined;
  /** Latest reported wait of each route. */
  readonly #waits = new Map<string, RouteWait>();
  #reportedAtMs = -Infinity;
  /** Requests that this daemon has sent since the last report. */
  #sentSince = 0;
  #failureShare = 0;
  #failureShareAtMs = 0;

  /**
   * Creates the statistics of a destination without requests so far.
   *
   * @param costs Costs of requests over all destinations of its service.
   * @param domainLoad Load of the service's destinations in its domain.
   * @param serviceTimes Service times over all destinations of its service.
   */
  constructor(
    costs = new RequestCosts(),
    domainLoad = new DomainLoad(),
    serviceTimes = new ServiceTimes(),
  ) {
    this.#costs = costs;
    this.#domainLoad = domainLoad;
    this.#ownLoad = new UsualLoad(domainLoad);
    this.#pace = new BackendPace(costs);
    this.#meanPace = new MeanPace(serviceTimes);
  }

  /**
   * Records that a request is sent.
   *
   * @param route Name of its route.
   */
  recordSend(route: string): void {
    this.#inFlight++;
    this.#sentSince++;
    const wait = this.#waits.get(route);
    if (wait !== undefined) wait.sentSince++;
  }

  /**
   * Records the outcome of a request, after the load report that came with it.
   *
   * @param key Key of its cost.
   * @param outcome The outcome.
   * @param nowMs Monotonic time, in ms.
   * @param learnsCost Whether its cost is learned for choices by expected value.
   */
  recordOutcome(
    key: RequestCostKey,
    outcome: CallOutcome,
    nowMs: number,
    learnsCost = true,
  ): void {
    this.#inFlight--;
    switch (outcome.kind) {
      case "answered":
        if (outcome.answer.status < 500) {
          if (learnsCost) this.#recordCost(key, outcome.serviceMs, nowMs);
          this.#meanPace.record(key[0]!, outcome.serviceMs, nowMs);
        }
        this.#recordResult(outcome.answer.status >= 500, nowMs);
        return;
      case "not-run":
        // Its record stays as it is while its daemon restarts.
        if (outcome.reason === MeshReason.Leaving) {
          this.recordUnreachable(nowMs);
        }
        if (outcome.hasReachedBackend || ABSENT_REASONS.has(outcome.reason)) {
          this.#recordResult(true, nowMs);
        }
        return;
      case "unknown":
        this.#recordResult(true, nowMs);
    }
  }

  #recordCost(key: RequestCostKey, serviceMs: number, nowMs: number): void {
    const momentary = this.#momentaryPace.valueAt(nowMs);
    this.#pace.record(key, serviceMs / momentary, nowMs);
  }

  /**
   * Records a load report, which also resets the backoff for unreachability.
   *
   * @param route Route of the request whose response carried the report.
   * @param load The report.
   * @param nowMs Monotonic time, in ms.
   */
  recordLoad(route: string, load: DestinationLoad, nowMs: number): void {
    this.#load = load;
    this.#reportedAtMs = nowMs;
    this.#sentSince = 0;
    this.#momentaryPace.record(load.pace, nowMs);
    this.#waits.set(route, { waitMs: load.waitMs, atMs: nowMs, sentSince: 0 });
    const busy = (load.running + load.queued) / Math.max(1, load.limit);
    this.#ownLoad.record(busy, load.waitMs, nowMs);
    this.#domainLoad.record(busy, load.waitMs, nowMs);
    this.#unreachable.resetBackoff();
  }

  /** Limit per second that the last response of the backend server named. */
  get namedLimitPerS(): number | undefined {
    return this.#namedLimitPerS;
  }

  /**
   * Records the limit that a response of the backend server named.
   *
   * @param limitPerS Requests per second; `undefined` if it named none.
   */
  recordNamedLimit(limitPerS: number | undefined): void {
    this.#namedLimitPerS = limitPerS;
  }

  /**
   * Records the network time of a request and its response. Transit through a
   * saturated link takes longer than any queue at the destination.
   *
   * @param transitMs The network time, in ms.
   * @param nowMs Monotonic time, in ms.
   */
  recordTransit(transitMs: number, nowMs: number): void {
    this.#transitMs.add(transitMs, nowMs);
  }

  /**
   * Records how long a large body waited for a transfer permit.
   *
   * @param waitMs The wait, in ms.
   * @param nowMs Monotonic time, in ms.
   */
  recordPermitWait(waitMs: number, nowMs: number): void {
    this.#permitWaitMs.add(waitMs, nowMs);
  }

  /**
   * Estimates how long a large body waits for a transfer permit.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The wait, in ms.
   */
  expectedPermitWaitMs(nowMs: number): number {
    return this.#permitWaitMs.valueAt(nowMs);
  }

  /**
   * Records that the destination could not be reached.
   *
   * @param nowMs Monotonic time, in ms.
   */
  recordUnreachable(nowMs: number): void {
    if (!this.#unreachable.isActive(nowMs)) this.#unreachable.start(nowMs);
  }

  /** Returns whether the destination is left out as unreachable at `nowMs`. */
  isUnreachable(nowMs: number): boolean {
    return this.#unreachable.isActive(nowMs);
  }

  /**
   * Returns the share of recent requests that failed at the backend server.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns 0 to 1: the larger of the observed and the reported share.
   */
  failureShare(nowMs: number): number {
    const observed = this.#observedFailureShare(nowMs);
    return Math.max(
      observed,
      (this.#load?.failureShare ?? 0) * this.#reportWeight(nowMs),
    );
  }

  /**
   * Estimates the wait and the service time of a new request.
   *
   * @param key Key of its cost.
   * @param nowMs Monotonic time, in ms.
   * @param slots Slots that the backend server announced.
   * @param cost Distribution of its cost, if the caller has it already.
   * @returns The wait, its part spent behind other requests, the service time,
   * in ms; the part of the wait before the start, in ms; and how long work takes
   * after it, relative to the service.
   */
  estimate(
    key: RequestCostKey,
    nowMs: number,
    slots: number,
    cost: Pick<CostDistribution, "meanMs"> = this.#costs.estimate(key, nowMs),
  ): {
    readonly waitMs: number;
    readonly queueMs: number;
    readonly serviceMs: number;
    readonly delayMs: number;
    readonly pace: number;
  } {
    const pace = this.#pace.valueAt(nowMs) *
      this.#momentaryPace.valueAt(nowMs);
    const limit = Math.max(1, this.#load?.limit ?? slots);
    const weight = this.#reportWeight(nowMs);
    const reported = (this.#load?.running ?? 0) + (this.#load?.queued ?? 0);
    const usual = this.#ownLoad.busyAt(nowMs) * limit;
    const busy = Math.max(
      this.#inFlight,
      reported * weight + usual * (1 - weight) + this.#sentSince,
    );
    // A destination near its limit slows down before requests queue.
    const slowdown = Math.min(1, busy / limit) ** 3 * FULL_LOAD_SLOWDOWN;
    const serviceMs = cost.meanMs * pace;
    const queueMs = this.#estimateQueueMs(
      key[0]!,
      nowMs,
      this.#perRequestMs(serviceMs, limit, busy),
      this.#ownLoad.waitMsAt(nowMs),
    );
    const delayMs = queueMs + this.#transitMs.valueAt(nowMs);
    return {
      waitMs: delayMs + slowdown * serviceMs,
      queueMs,
      serviceMs,
      delayMs,
      pace: pace * (1 + slowdown),
    };
  }

  /**
   * Estimates the wait and the service time of a new request from mean times and
   * from reports alone, which lose their weight with their age.
   *
   * @param route Name of its route.
   * @param nowMs Monotonic time, in ms.
   * @param slots Slots that the backend server announced.
   * @returns The wait, its part spent behind other requests, and the service
   * time, in ms.
   */
  estimateByMeans(
    route: string,
    nowMs: number,
    slots: number,
  ): {
    readonly waitMs: number;
    readonly queueMs: number;
    readonly serviceMs: number;
  } {
    const serviceMs = this.#meanPace.expectedMs(route, nowMs) *
      this.#momentaryPace.valueAt(nowMs);
    const limit = Math.max(1, this.#load?.limit ?? slots);
    const reported = (this.#load?.running ?? 0) + (this.#load?.queued ?? 0);
    const busy = Math.max(
      this.#inFlight,
      reported * this.#reportWeight(nowMs),
    );
    const slowdownMs = Math.min(1, busy / limit) ** 3 * serviceMs *
      FULL_LOAD_SLOWDOWN;
    const perRequestMs = this.#perRequestMs(serviceMs, limit, busy);
    const queueMs = this.#estimateQueueMs(route, nowMs, perRequestMs, 0);
    const waitMs = queueMs + slowdownMs + this.#transitMs.valueAt(nowMs);
    return { waitMs, queueMs, serviceMs };
  }

  /** Wait behind each further request. */
  #perRequestMs(serviceMs: number, limit: number, busy: number): number {
    const limitPerS = this.#load?.limitPerS;
    return Math.max(
      busy >= limit ? serviceMs / limit : 0,
      limitPerS === undefined ? 0 : MS_PER_S / limitPerS,
    );
  }

  /** Uses the route's own wait, as the queue's order depends on the route. */
  #estimateQueueMs(
    route: string,
    nowMs: number,
    perRequestMs: number,
    usualMs: number,
  ): number {
    const wait = this.#waits.get(route);
    if (wait === undefined) return Math.max(perRequestMs, usualMs);
    const weight = Math.exp((wait.atMs - nowMs) / REPORT_DECAY_MS);
    return wait.waitMs * weight + usualMs * (1 - weight) +
      wait.sentSince * perRequestMs;
  }

  /**
   * Returns when the destination was last known to have a free slot.
   *
   * @returns Monotonic time of the report, in ms; `-Infinity` if its slots are
   * taken by now.
   */
  get freeAtMs(): number {
    const load = this.#load;
    if (load === undefined || load.waitMs > 0) return -Infinity;
    const busy = load.running + load.queued + this.#sentSince;
    return busy < load.limit ? this.#reportedAtMs : -Infinity;
  }

  /** The same by mean times. */
  isShortByMeans(route: string): boolean {
    return this.#meanPace.isShort(route);
  }

  /** Returns whether requests of a route are short for the service. */
  isShort(route: string): boolean {
    return this.#costs.isShort(route);
  }

  #reportWeight(nowMs: number): number {
    return Math.exp(-(nowMs - this.#reportedAtMs) / REPORT_DECAY_MS);
  }

  #observedFailureShare(nowMs: number): number {
    const ageMs = nowMs - this.#failureShareAtMs;
    return this.#failureShare * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
  }

  #recordResult(isFailure: boolean, nowMs: number): void {
    const current = this.#observedFailureShare(nowMs);
    this.#failureShare = current +
      ((isFailure ? 1 : 0) - current) * FAILURE_WEIGHT;
    this.#failureShareAtMs = nowMs;
  }
}
