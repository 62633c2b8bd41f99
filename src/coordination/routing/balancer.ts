import type { Service } from "../../protocol/config_schema.ts";
import type { Member } from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { rendezvous } from "../../protocol/hash.ts";
import type { Random } from "../../protocol/random.ts";
import { canTakeWork } from "../../state/member_table.ts";
import type { AdmissionLoad } from "../admission/admission_queue.ts";
import { Endpoint } from "./endpoint.ts";

/**
 * Most endpoints of a service that one daemon connects to, in the local failure
 * domain and in the others each.
 */
export const MAX_SUBSET = 16;

/** Utilization from which endpoints in other domains are considered too. */
const SPILLOVER_UTILIZATION = 0.6;

/** Why an endpoint was chosen. */
export enum Choice {
  Local = "local",
  Spill = "spill",
  Remote = "remote",
  Panic = "panic",
}

/** A chosen endpoint with the reason for the choice. */
export interface ChosenEndpoint {
  readonly endpoint: Endpoint;
  readonly choice: Choice;
}

/** Parameters of a choice besides the endpoints. */
export interface ChooseOptions {
  readonly service: Service;
  /** Ids of members that were already tried. */
  readonly tried: ReadonlySet<string>;
  /** Monotonic time. */
  readonly nowMs: number;
  /** Whether to use only endpoints confirmed reachable. @default {false} */
  readonly mustBeReachable?: boolean;
}

/**
 * Chooses backend servers by this daemon's own measurements.
 *
 * The cheaper of two random endpoints is chosen, by latency and load (power of
 * two choices). The local failure domain is preferred; calls spill over if its
 * endpoints are saturated. Ejected endpoints are left out, but never more than
 * the configured share; above it all are used (panic mode). Unreachable
 * endpoints are left out while any other is left.
 *
 * @example
 * ```ts ignore
 * const chosen = balancer.choose("lookup", { service, tried, nowMs });
 * ```
 */
export class Balancer {
  readonly #selfId: string;
  readonly #domain: string;
  readonly #random: Random;
  readonly #endpoints = new Map<string, Endpoint>();
  readonly #subsets = new Map<string, Endpoint[]>();

  /**
   * Creates a balancer without endpoints.
   *
   * @param self Id and failure domain of this daemon.
   * @param random Source of randomness.
   */
  constructor(
    self: { readonly id: string; readonly domain: string },
    random: Random,
  ) {
    this.#selfId = self.id;
    this.#domain = self.domain;
    this.#random = random;
  }

  /**
   * Adds, updates or removes the endpoint of a member.
   *
   * @param member The member's record.
   * @param nowMs Monotonic time, in ms.
   */
  update(member: Member, nowMs: number): void {
    const known = this.#endpoints.get(member.id);
    if (canTakeWork(member)) {
      known?.update(member, nowMs);
      const endpoint = known ?? new Endpoint(member, nowMs);
      this.#endpoints.set(member.id, endpoint);
    } else {
      this.#endpoints.delete(member.id);
    }
    this.#subsets.clear();
  }

  /**
   * Returns the endpoints of a service that this daemon may use.
   *
   * @param service Name of the service.
   * @returns The endpoints in the local domain, then those in others.
   */
  endpointsOf(service: string): readonly Endpoint[] {
    let subset = this.#subsets.get(service);
    if (subset === undefined) {
      subset = this.#subsetOf(service);
      this.#subsets.set(service, subset);
    }
    return subset;
  }

  /**
   * Chooses an endpoint.
   *
   * @param serviceName Name of the service.
   * @param options Service, endpoints to leave out and time.
   * @returns The endpoint; `undefined` if none is left.
   */
  choose(
    serviceName: string,
    options: ChooseOptions,
  ): ChosenEndpoint | undefined {
    const { tried, nowMs, service } = options;
    const all = this.endpointsOf(serviceName);
    const untried = all.filter((endpoint) =>
      !tried.has(endpoint.member.id) &&
      (options.mustBeReachable !== true || endpoint.isConfirmedReachable(nowMs))
    );
    // Unreachable endpoints are left out even in panic mode.
    const reachable = untried.filter((endpoint) =>
      !endpoint.isUnreachable(nowMs)
    );
    const candidates = reachable.length > 0 ? reachable : untried;
    const healthy = candidates.filter((endpoint) => !endpoint.isEjected(nowMs));
    const ejected = all.filter((endpoint) => endpoint.isEjected(nowMs));
    const isPanic = healthy.length === 0 ||
      ejected.length > all.length * service.maxEjectedShare;
    return this.#pickLocalFirst(
      isPanic ? candidates : healthy,
      isPanic,
      options,
    );
  }

  /**
   * Returns whether an untried endpoint is expected to have a free slot.
   *
   * @param serviceName Name of the service.
   * @param options Endpoints to leave out, and time.
   * @returns Whether there is such an endpoint.
   */
  hasFreeSlot(serviceName: string, options: ChooseOptions): boolean {
    const { tried, nowMs } = options;
    return this.endpointsOf(serviceName).some((endpoint) =>
      !tried.has(endpoint.member.id) && !endpoint.isEjected(nowMs) &&
      !endpoint.isUnreachable(nowMs) && endpoint.utilization(nowMs) < 1
    );
  }

  /**
   * Records the load of the local backend server.
   *
   * @param load The current load.
   * @param nowMs Monotonic time, in ms.
   */
  recordLocalLoad(load: AdmissionLoad, nowMs: number): void {
    this.#endpoints.get(this.#selfId)?.recordLoad(load, nowMs);
  }

  #pickLocalFirst(
    candidates: readonly Endpoint[],
    isPanic: boolean,
    options: ChooseOptions,
  ): ChosenEndpoint | undefined {
    const local = candidates.filter((endpoint) => this.#isLocal(endpoint));
    const remote = candidates.filter((endpoint) => !this.#isLocal(endpoint));
    const bestLocal = this.#betterOfTwo(local, options);
    const isLocalFree = bestLocal !== undefined &&
      bestLocal.utilization(options.nowMs) < SPILLOVER_UTILIZATION;
    if (isLocalFree) {
      return {
        endpoint: bestLocal,
        choice: isPanic ? Choice.Panic : Choice.Local,
      };
    }
    const bestRemote = this.#betterOfTwo(remote, options);
    const pair = [bestLocal, bestRemote].filter((one) => one !== undefined);
    const best = chooseCheapest(pair, options);
    if (best === undefined) return undefined;
    return {
      endpoint: best,
      choice: this.#reasonFor(best, isPanic, bestLocal),
    };
  }

  #reasonFor(
    best: Endpoint,
    isPanic: boolean,
    bestLocal: Endpoint | undefined,
  ): Choice {
    if (isPanic) return Choice.Panic;
    if (this.#isLocal(best)) return Choice.Local;
    return bestLocal === undefined ? Choice.Remote : Choice.Spill;
  }

  #betterOfTwo(
    endpoints: readonly Endpoint[],
    options: ChooseOptions,
  ): Endpoint | undefined {
    if (endpoints.length <= 1) return endpoints[0];
    return chooseCheapest(this.#random.sample(endpoints, 2), options);
  }

  #isLocal(endpoint: Endpoint): boolean {
    return endpoint.member.domain === this.#domain;
  }

  #subsetOf(service: string): Endpoint[] {
    const all = [...this.#endpoints.values()]
      .filter((endpoint) => endpoint.member.service === service);
    const local = all.filter((endpoint) => this.#isLocal(endpoint));
    const remote = all.filter((endpoint) => !this.#isLocal(endpoint));
    return [
      ...this.#limitSubset(service, local),
      ...this.#limitSubset(service, remote),
    ];
  }

  #limitSubset(service: string, endpoints: Endpoint[]): Endpoint[] {
    if (endpoints.length <= MAX_SUBSET) return endpoints;
    const ids = endpoints.map((endpoint) => endpoint.member.id);
    const subsetKey = `subset/${service}/${this.#selfId}`;
    const chosen = new Set(rendezvous(subsetKey, ids, MAX_SUBSET));
    return endpoints.filter((endpoint) => chosen.has(endpoint.member.id));
  }
}

function chooseCheapest(
  endpoints: readonly Endpoint[],
  options: ChooseOptions,
): Endpoint | undefined {
  const { service, nowMs } = options;
  let best: Endpoint | undefined;
  let bestCost = Infinity;
  for (const endpoint of endpoints) {
    const cost = endpoint.cost(service.slowStartMs, nowMs);
    if (cost < bestCost) {
      best = endpoint;
      bestCost = cost;
    }
  }
  return best;
}
