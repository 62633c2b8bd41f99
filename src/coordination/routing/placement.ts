import { Delivery, type Service } from "../../protocol/config_schema.ts";
import type { Balancer, ChosenEndpoint } from "./balancer.ts";
import type { Endpoint } from "./endpoint.ts";

/** Destinations without a free slot that may send one call on. */
export const MAX_REDIRECTS = 2;
/** Questions without an answer that one call may wait for. */
export const MAX_UNANSWERED_PROBES = 3;

/** Service of a call that is to be placed. */
export interface PlacementService {
  readonly name: string;
  readonly service: Service;
}

/** Where the next attempt of a call goes. */
export interface PlacedAttempt extends ChosenEndpoint {
  /**
   * Endpoint to be asked whether it is in reach: before the attempt where it is
   * the attempt's own, else beside it.
   */
  readonly probeTarget: Endpoint | undefined;
}

/**
 * Places the attempts of one call.
 *
 * An endpoint is tried again only after all others, and only where the call did
 * not fail there: it had no free slot, or the connection was lost on the way.
 *
 * A call that may run once is never what finds out that an endpoint is out of
 * reach, as nobody could tell then whether it ran: an endpoint without a fresh
 * proof is asked first.
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
  readonly #tried = new Set<string>();
  readonly #reusable = new Set<string>();
  #redirects = 0;
  #unanswered = 0;

  /**
   * Starts without attempts.
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
   * @param nowMs Monotonic time.
   * @returns The endpoint; `undefined` where none is left.
   */
  next(nowMs: number): PlacedAttempt | undefined {
    const chosen = this.#choose(nowMs) ?? this.#chooseAgain(nowMs);
    const placed = chosen && this.#prove(chosen, nowMs);
    if (placed !== undefined) this.#tried.add(placed.endpoint.member.id);
    return placed;
  }

  /**
   * Says whether an endpoint is left that was not tried.
   *
   * @param nowMs Monotonic time.
   * @returns Whether there is one.
   */
  hasUntriedEndpoint(nowMs: number): boolean {
    return this.#choose(nowMs) !== undefined;
  }

  /**
   * Says whether a destination without a free slot may send the call on, as
   * another endpoint seems to have one.
   *
   * @param nowMs Monotonic time.
   * @returns Whether it may; false where the call has to queue.
   */
  canBeRedirected(nowMs: number): boolean {
    return this.#redirects < MAX_REDIRECTS &&
      this.#balancer.hasFreeSlot(this.#target.name, {
        service: this.#target.service,
        tried: this.#tried,
        nowMs,
      });
  }

  /**
   * Records that a destination had no free slot.
   *
   * @param id Id of the endpoint's member.
   */
  recordRedirect(id: string): void {
    this.#redirects++;
    this.#reusable.add(id);
  }

  /**
   * Records that the call did not arrive, as its connection was lost.
   *
   * @param id Id of the endpoint's member.
   */
  recordUndelivered(id: string): void {
    this.#reusable.add(id);
  }

  /** Records that the call was not sent, as a question was not answered. */
  recordUnansweredProbe(): void {
    this.#unanswered++;
  }

  /** Puts a proven endpoint in the place of one that has to be asked. */
  #prove(chosen: ChosenEndpoint, nowMs: number): PlacedAttempt | undefined {
    const { service } = this.#target;
    const { endpoint } = chosen;
    if (
      service.delivery === Delivery.Idempotent ||
      endpoint.isConfirmedReachable(nowMs)
    ) return { ...chosen, probeTarget: undefined };
    const proven = this.#choose(nowMs, true);
    const mayWait = this.#unanswered < MAX_UNANSWERED_PROBES;
    const isBetter = proven !== undefined &&
      (endpoint.isPathSuspect || proven.endpoint.utilization(nowMs) < 1);
    if (proven !== undefined && (isBetter || !mayWait)) {
      return { ...proven, probeTarget: endpoint };
    }
    return mayWait ? { ...chosen, probeTarget: endpoint } : undefined;
  }

  #chooseAgain(nowMs: number): ChosenEndpoint | undefined {
    for (const id of this.#reusable) this.#tried.delete(id);
    this.#reusable.clear();
    return this.#choose(nowMs);
  }

  #choose(nowMs: number, isProven = false): ChosenEndpoint | undefined {
    const { name, service } = this.#target;
    return this.#balancer.choose(name, {
      service,
      tried: this.#tried,
      nowMs,
      mustBeReachable: isProven,
    });
  }
}
