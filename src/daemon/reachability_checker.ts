import type { Endpoint } from "../coordination/routing/endpoint.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { Metrics } from "../transport/observe/metrics.ts";
import { monotonicMs } from "./clocks.ts";
import type { PeerForwarder } from "./peer_forwarder.ts";

/** What {@linkcode ReachabilityChecker} needs. */
export interface ReachabilityCheckerOptions {
  readonly peers: Pick<PeerForwarder, "probe">;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/**
 * Asks endpoints whether they are in reach, one question each at a time.
 *
 * @example
 * ```ts ignore
 * if (await inquiries.ask(endpoint, requestId)) attempt.send();
 * ```
 */
export class ReachabilityChecker {
  readonly #options: ReachabilityCheckerOptions;
  readonly #pending = new Map<string, Promise<boolean>>();

  /**
   * Starts without questions.
   *
   * @param options Who asks, and where it is noted.
   */
  constructor(options: ReachabilityCheckerOptions) {
    this.#options = options;
  }

  /**
   * Asks an endpoint; its reach is known after it.
   *
   * @param endpoint The endpoint.
   * @param requestId The call that needs to know.
   * @returns Whether it answered.
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
    if (load !== undefined) endpoint.reported(load, nowMs);
    // An answer to a call may have come meanwhile.
    const isReachable = endpoint.isProven(nowMs);
    if (!isReachable) endpoint.unreached(nowMs);
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
