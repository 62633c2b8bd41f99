import type { Endpoint } from "../coordination/routing/endpoint.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { Metrics } from "../transport/observe/metrics.ts";
import { monotonicMs } from "./clocks.ts";
import type { PeerCaller } from "./peer_caller.ts";

/** What {@linkcode ReachInquiries} needs. */
export interface ReachInquiriesOptions {
  readonly peers: Pick<PeerCaller, "ask">;
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
export class ReachInquiries {
  readonly #options: ReachInquiriesOptions;
  readonly #open = new Map<string, Promise<boolean>>();

  /**
   * Starts without questions.
   *
   * @param options Who asks, and where it is noted.
   */
  constructor(options: ReachInquiriesOptions) {
    this.#options = options;
  }

  /**
   * Asks an endpoint; its reach is known after it.
   *
   * @param endpoint The endpoint.
   * @param requestId The call that needs to know.
   * @returns Whether it answered.
   */
  ask(endpoint: Endpoint, requestId: string): Promise<boolean> {
    const { id } = endpoint.member;
    const known = this.#open.get(id);
    if (known !== undefined) return known;
    const answer = this.#ask(endpoint, requestId)
      .finally(() => this.#open.delete(id));
    this.#open.set(id, answer);
    return answer;
  }

  async #ask(endpoint: Endpoint, requestId: string): Promise<boolean> {
    const { peers, log, metrics } = this.#options;
    const askedAtMs = monotonicMs();
    const load = await peers.ask(endpoint.member);
    const nowMs = monotonicMs();
    if (load !== undefined) endpoint.recordLoad(load, nowMs);
    // An answer to a call may have come meanwhile.
    const isInReach = endpoint.isConfirmedReachable(nowMs);
    if (!isInReach) endpoint.recordUnreachable(nowMs);
    metrics.count("ingress.questions", 1, [`answered:${isInReach}`]);
    log.info("reach-asked", {
      backend: endpoint.member.id,
      answered: isInReach,
      tookMs: Math.round(nowMs - askedAtMs),
      request: requestId,
    });
    return isInReach;
  }
}
