import { Delivery, type Service } from "../../protocol/config_schema.ts";
import type { Balancer, ChosenEndpoint } from "./balancer.ts";
import type { Endpoint } from "./endpoint.ts";

/** Most redirects of one call by destinations without a free slot. */
export const MAX_REDIRECTS = 2;
/** Most unanswered reachability probes that one call may wait for. */
export const MAX_UNANSWERED_PROBES = 3;

/** Service for whose call an endpoint is chosen. */
export interface PlacementService {
  readonly name: string;
  readonly service: Service;
}

/** Endpoint of the next attempt, and the endpoint to probe. */
export interface PlacedAttempt extends ChosenEndpoint {
  /**
   * Endpoint to probe for reachability: before the attempt if it is the
   * attempt's own endpoint, else concurrently with it.
   */
  readonly probeTarget: Endpoint | undefined;
}

/**
 * Chooses the endpoints for the attempts of one call.
 *
 * An endpoint is tried again only after all others, and only if the call did
 * not fail there: it had no free slot, or the connection was lost before the
 * call arrived.
 *
 * An at-most-once call must not be the first to find an endpoint unreachable,
 * as its outcome would be unknown: an endpoint that was not confirmed reachable
 * recently is probed first.
 *
 * @example
 * ```ts ignore
 * const placement = new Placement(balancer, { name: "lookup", service });
 * const placed = placement.next(performance.now());
 * ```
 */
export class Placement {
  readonly #balancer: Balancer;
  readonly #target: PlacementService;
  readonly #triedIds = new Set<string>();
  readonly #reusableIds = new Set<string>();
  #redirects = 0;
  #unansweredProbes = 0;

  /**
   * Creates a placement without attempts.
   *
   * @param balancer Endpoints of all services.
   * @param target The call's service.
   */
  constructor(balancer: Balancer, target: PlacementService) {
    this.#balancer = balancer;
    this.#target = target;
  }

  /**
   * Chooses the endpoint of the next attempt.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The endpoint; `undefined` if none is left.
   */
  next(nowMs: number): PlacedAttempt | undefined {
    const chosen = this.#choose(nowMs) ?? this.#chooseReusable(nowMs);
    const placed = chosen && this.#preferReachable(chosen, nowMs);
    if (placed !== undefined) this.#triedIds.add(placed.endpoint.member.id);
    return placed;
  }

  /**
   * Returns whether an untried endpoint is left.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Whether there is one.
   */
  hasUntriedEndpoint(nowMs: number): boolean {
    return this.#choose(nowMs) !== undefined;
  }

  /**
   * Returns whether a destination without a free slot may redirect the call, as
   * another endpoint is expected to have one.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Whether it may; `false` if the call has to queue there.
   */
  canBeRedirected(nowMs: number): boolean {
    return this.#redirects < MAX_REDIRECTS &&
      this.#balancer.hasFreeSlot(this.#target.name, {
        service: this.#target.service,
        tried: this.#triedIds,
        nowMs,
      });
  }

  /**
   * Records that a destination without a free slot redirected the call.
   *
   * @param id Id of the endpoint's member.
   */
  recordRedirect(id: string): void {
    this.#redirects++;
    this.#reusableIds.add(id);
  }

  /**
   * Records that the call did not arrive, as the connection was lost.
   *
   * @param id Id of the endpoint's member.
   */
  recordUndelivered(id: string): void {
    this.#reusableIds.add(id);
  }

  /** Records that the call was not sent, as a probe was not answered. */
  recordUnansweredProbe(): void {
    this.#unansweredProbes++;
  }

  /** Replaces an endpoint that must be probed by one confirmed reachable. */
  #preferReachable(
    chosen: ChosenEndpoint,
    nowMs: number,
  ): PlacedAttempt | undefined {
    const { service } = this.#target;
    const { endpoint } = chosen;
    if (
      service.delivery === Delivery.Idempotent ||
      endpoint.isConfirmedReachable(nowMs)
    ) return { ...chosen, probeTarget: undefined };
    const reachable = this.#choose(nowMs, true);
    const canWaitForProbe = this.#unansweredProbes < MAX_UNANSWERED_PROBES;
    const isBetter = reachable !== undefined &&
      (endpoint.isPathSuspect || reachable.endpoint.utilization(nowMs) < 1);
    if (reachable !== undefined && (isBetter || !canWaitForProbe)) {
      return { ...reachable, probeTarget: endpoint };
    }
    return canWaitForProbe ? { ...chosen, probeTarget: endpoint } : undefined;
  }

  #chooseReusable(nowMs: number): ChosenEndpoint | undefined {
    for (const id of this.#reusableIds) this.#triedIds.delete(id);
    this.#reusableIds.clear();
    return this.#choose(nowMs);
  }

  #choose(nowMs: number, mustBeReachable = false): ChosenEndpoint | undefined {
    const { name, service } = this.#target;
    return this.#balancer.choose(name, {
      service,
      tried: this.#triedIds,
      nowMs,
      mustBeReachable,
    });
  }
}
