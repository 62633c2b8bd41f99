import type { Service } from "../../protocol/config_schema.ts";
import type { Member } from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { rendezvous } from "../../protocol/hash.ts";
import type { Random } from "../../protocol/random.ts";
import { canTakeWork } from "../../state/member_table.ts";
import type { AdmissionLoad } from "../admission/admission_queue.ts";
import { Endpoint } from "./endpoint.ts";

/** Most endpoints of a service that one daemon opens connections to. */
export const MAX_SUBSET = 16;

/** Share of busy slots from which other domains are considered too. */
const SPILL_UTILIZATION = 0.6;

/** Why an endpoint was chosen. */
export enum Choice {
  Local = "local",
  Spill = "spill",
  Remote = "remote",
  Panic = "panic",
}

/** An endpoint with the reason of its choice. */
export interface Chosen {
  readonly endpoint: Endpoint;
  readonly choice: Choice;
}

/** What a choice depends on besides the endpoints. */
export interface ChooseOptions {
  readonly service: Service;
  /** Ids of members that were tried already. */
  readonly tried: ReadonlySet<string>;
  /** Monotonic time. */
  readonly nowMs: number;
  /** Whether only endpoints that are proven in reach count. @default {false} */
  readonly isProven?: boolean;
}

/**
 * Chooses backend servers by this daemon's own evidence.
 *
 * Two random endpoints are compared by latency and running calls. The own
 * failure domain goes first and spills over when its endpoints are saturated.
 * Ejected endpoints are left out, but never more than the configured share;
 * endpoints out of reach are left out while any other is left.
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
   * @param random Source of the choices.
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
   * Takes in a member's record.
   *
   * @param member The record.
   * @param nowMs Monotonic time.
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
   * @returns The endpoints, own domain and others.
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
   * @param options Service, endpoints to avoid and time.
   * @returns The endpoint; `undefined` where none is left.
   */
  choose(serviceName: string, options: ChooseOptions): Chosen | undefined {
    const { tried, nowMs, service } = options;
    const all = this.endpointsOf(serviceName);
    const untried = all.filter((endpoint) =>
      !tried.has(endpoint.member.id) &&
      (options.isProven !== true || endpoint.isProven(nowMs))
    );
    // Who is out of reach cannot help, however many are ejected.
    const inReach = untried.filter((endpoint) =>
      !endpoint.isUnreachable(nowMs)
    );
    const candidates = inReach.length > 0 ? inReach : untried;
    const healthy = candidates.filter((endpoint) => !endpoint.isEjected(nowMs));
    const ejected = all.filter((endpoint) => endpoint.isEjected(nowMs));
    const panic = healthy.length === 0 ||
      ejected.length > all.length * service.maxEjectedShare;
    return this.#pick(panic ? candidates : healthy, panic, options);
  }

  /**
   * Says whether an endpoint that was not tried seems to have a free slot.
   *
   * @param serviceName Name of the service.
   * @param options Endpoints to leave out, and time.
   * @returns Whether there is one.
   */
  hasFreeSlot(serviceName: string, options: ChooseOptions): boolean {
    const { tried, nowMs } = options;
    return this.endpointsOf(serviceName).some((endpoint) =>
      !tried.has(endpoint.member.id) && !endpoint.isEjected(nowMs) &&
      !endpoint.isUnreachable(nowMs) && endpoint.utilization(nowMs) < 1
    );
  }

  /**
   * Takes in the load of this daemon's own backend server.
   *
   * @param load The load now.
   * @param nowMs Monotonic time.
   */
  reportOwn(load: AdmissionLoad, nowMs: number): void {
    this.#endpoints.get(this.#selfId)?.reported(load, nowMs);
  }

  #pick(
    candidates: readonly Endpoint[],
    panic: boolean,
    options: ChooseOptions,
  ): Chosen | undefined {
    const local = candidates.filter((endpoint) => this.#isLocal(endpoint));
    const remote = candidates.filter((endpoint) => !this.#isLocal(endpoint));
    const bestLocal = this.#betterOfTwo(local, options);
    const isLocalFree = bestLocal !== undefined &&
      bestLocal.utilization(options.nowMs) < SPILL_UTILIZATION;
    if (isLocalFree) {
      return {
        endpoint: bestLocal,
        choice: panic ? Choice.Panic : Choice.Local,
      };
    }
    const bestRemote = this.#betterOfTwo(remote, options);
    const pair = [bestLocal, bestRemote].filter((one) => one !== undefined);
    const best = cheapest(pair, options);
    if (best === undefined) return undefined;
    return { endpoint: best, choice: this.#choiceOf(best, panic, bestLocal) };
  }

  #choiceOf(
    best: Endpoint,
    panic: boolean,
    bestLocal: Endpoint | undefined,
  ): Choice {
    if (panic) return Choice.Panic;
    if (this.#isLocal(best)) return Choice.Local;
    return bestLocal === undefined ? Choice.Remote : Choice.Spill;
  }

  #betterOfTwo(
    endpoints: readonly Endpoint[],
    options: ChooseOptions,
  ): Endpoint | undefined {
    if (endpoints.length <= 1) return endpoints[0];
    return cheapest(this.#random.sample(endpoints, 2), options);
  }

  #isLocal(endpoint: Endpoint): boolean {
    return endpoint.member.domain === this.#domain;
  }

  #subsetOf(service: string): Endpoint[] {
    const all = [...this.#endpoints.values()]
      .filter((endpoint) => endpoint.member.service === service);
    const local = all.filter((endpoint) => this.#isLocal(endpoint));
    const remote = all.filter((endpoint) => !this.#isLocal(endpoint));
    return [...this.#limit(service, local), ...this.#limit(service, remote)];
  }

  #limit(service: string, endpoints: Endpoint[]): Endpoint[] {
    if (endpoints.length <= MAX_SUBSET) return endpoints;
    const ids = endpoints.map((endpoint) => endpoint.member.id);
    const duty = `subset/${service}/${this.#selfId}`;
    const chosen = new Set(rendezvous(duty, ids, MAX_SUBSET));
    return endpoints.filter((endpoint) => chosen.has(endpoint.member.id));
  }
}

function cheapest(
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
