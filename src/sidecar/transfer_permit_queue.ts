import {
  type DisplacedRequest,
  type PermitRequest,
  TransferLimiter,
} from "../coordination/dispatch/mod.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";

/** Pause between two checks for expired permits, in ms. */
const EXPIRY_CHECK_MS = 250;

/** Callbacks for the decision on a permit. */
export interface TransferPermitHandlers {
  /** Called once the body may be sent. */
  readonly admit: () => void;
  /** Called with the expected wait, in ms, if that is too long. */
  readonly refuse: (waitMs: number) => void;
}

/**
 * Queues the requests of other daemons for transfer permits, which they need to
 * send large bodies over a slow link to this daemon.
 *
 * @example
 * ```ts ignore
 * permits.request({ id: "a", maxWaitMs: 1_000 }, {
 *   admit: () => response.writeHead(200).end(),
 *   refuse: () => response.writeHead(503).end(),
 * });
 * permits.release("a");
 * ```
 */
export class TransferPermitQueue {
  readonly #metrics: TextMetrics;
  readonly #limiter = new TransferLimiter();
  readonly #pending = new Map<string, TransferPermitHandlers>();
  #check: NodeJS.Timeout | undefined;

  /**
   * Creates an empty queue.
   *
   * @param metrics Counts the refused requests.
   */
  constructor(metrics: TextMetrics) {
    this.#metrics = metrics;
  }

  /**
   * Requests a permit.
   *
   * @param request The body's request, and the longest wait.
   * @param handlers Callbacks for the decision.
   */
  request(request: PermitRequest, handlers: TransferPermitHandlers): void {
    const nowMs = performance.now();
    // Permits that have expired belong to the requests that wait already.
    this.#grantAll(this.#limiter.grantFree(nowMs));
    const decision = this.#limiter.requestPermit(request, nowMs);
    switch (decision.kind) {
      case "admit":
        return handlers.admit();
      case "refuse":
        return handlers.refuse(decision.waitMs);
      case "wait":
        this.#enqueue(request.id, handlers);
        this.#refuseDisplaced(decision.displaced);
    }
  }

  #enqueue(id: string, handlers: TransferPermitHandlers): void {
    this.#pending.set(id, handlers);
    this.#check ??= setInterval(() => this.#expire(), EXPIRY_CHECK_MS);
  }

  #refuseDisplaced(displaced: readonly DisplacedRequest[]): void {
    if (displaced.length === 0) return;
    this.#metrics.count("permits_displaced_total", {}, displaced.length);
    for (const { id, waitMs } of displaced) {
      this.#pending.get(id)?.refuse(waitMs);
      this.#pending.delete(id);
    }
  }

  #expire(): void {
    const nowMs = performance.now();
    for (const id of this.#limiter.removeExpired(nowMs)) {
      this.#pending.get(id)?.refuse(0);
      this.#pending.delete(id);
    }
    this.#grantAll(this.#limiter.grantFree(nowMs));
  }

  /**
   * Releases the permit of a request that has arrived or was abandoned.
   *
   * @param id Id of the request.
   */
  release(id: string): void {
    this.#pending.delete(id);
    this.#grantAll(this.#limiter.release(id, performance.now()));
  }

  #grantAll(ids: readonly string[]): void {
    for (const id of ids) {
      this.#pending.get(id)?.admit();
      this.#pending.delete(id);
    }
    if (this.#pending.size > 0) return;
    clearInterval(this.#check);
    this.#check = undefined;
  }
}
