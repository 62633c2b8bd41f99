import {
  type PermitRequest,
  TransferLimiter,
} from "../coordination/dispatch/mod.ts";

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
  readonly #limiter = new TransferLimiter();
  readonly #pendingGrants = new Map<string, () => void>();
  #check: NodeJS.Timeout | undefined;

  /**
   * Requests a permit.
   *
   * @param request The id of the body's request, and the longest wait.
   * @param handlers Callbacks for the decision.
   */
  request(request: PermitRequest, handlers: TransferPermitHandlers): void {
    const decision = this.#limiter.requestPermit(request, performance.now());
    switch (decision.kind) {
      case "admit":
        return handlers.admit();
      case "refuse":
        return handlers.refuse(decision.waitMs);
      case "wait":
        this.#enqueue(request.id, handlers.admit);
    }
  }

  #enqueue(id: string, admit: () => void): void {
    this.#pendingGrants.set(id, admit);
    this.#check ??= setInterval(
      () => this.#grantAll(this.#limiter.grantFree(performance.now())),
      EXPIRY_CHECK_MS,
    );
  }

  /**
   * Releases the permit of a request that has arrived or was abandoned.
   *
   * @param id Id of the request.
   */
  release(id: string): void {
    this.#pendingGrants.delete(id);
    this.#grantAll(this.#limiter.release(id, performance.now()));
  }

  #grantAll(ids: readonly string[]): void {
    for (const id of ids) {
      this.#pendingGrants.get(id)?.();
      this.#pendingGrants.delete(id);
    }
    if (this.#pendingGrants.size > 0) return;
    clearInterval(this.#check);
    this.#check = undefined;
  }
}
