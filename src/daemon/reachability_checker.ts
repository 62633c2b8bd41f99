import type { Endpoint } from "../coordination/routing/endpoint.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { Metrics } from "../transport/observe/metrics.ts";
import { monotonicMs } from "./clocks.ts";
import type { PeerForwarder } from "./peer_forwarder.ts";

/** Options of a {@linkcode ReachabilityChecker}. */
export interface ReachabilityCheckerOptions {
  readonly peers: Pick<PeerForwarder, "probe">;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/**
 * Checks whether endpoints are reachable, with at most one probe per endpoint
 * at a time.
 *
 * @example
 * ```ts ignore
 * if (await checker.check(endpoint, requestId)) attempt.send();
 * ```
 */
export class ReachabilityChecker {
  readonly #options: ReachabilityCheckerOptions;
  readonly #pending = new Map<string, Promise<boolean>>();

  /**
   * Creates a checker.
   *
   * @param options Sender of the probes, log and metrics.
   */
  constructor(options: ReachabilityCheckerOptions) {
    this.#options = options;
  }

  /**
   * Probes an endpoint and records the result in it.
   *
   * @param endpoint The endpoint.
   * @param requestId Id of the request that needs the result, for the log.
   * @returns Whether it is reachable.
   */
  check(endpoint: Endpoint, requestId: string): Promise<boolean> {
    const { id } = endpoint.member;
    const pending = this.#pending.get(id);
    if (pending !== undefined) return pending;
    const result = this.#probe(endpoint, requestId)
      .finally(() => this.#pending.delete(id));
    this.#pending.set(id, result);
    return result;
  }

  async #probe(endpoint: Endpoint, requestId: string): Promise<boolean> {
    const { peers, log, metrics } = this.#options;
    const startedAtMs = monotonicMs();
    const load = await peers.probe(endpoint.member);
    const nowMs = monotonicMs();
    if (load !== undefined) endpoint.recordLoad(load, nowMs);
    // A response to a call may have arrived meanwhile.
    const isReachable = endpoint.isConfirmedReachable(nowMs);
    if (!isReachable) endpoint.recordUnreachable(nowMs);
    metrics.count("ingress.questions", 1, [`answered:${isReachable}`]);
    log.info("reach-asked", {
      backend: endpoint.member.id,
      answered: isReachable,
      tookMs: Math.round(nowMs - startedAtMs),
      request: requestId,
    });
    return isReachable;
  }
}
