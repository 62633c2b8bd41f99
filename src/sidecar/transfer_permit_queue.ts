import { BodyGate, type PlaceRequest } from "../coordination/dispatch/mod.ts";

/** Pause between two looks for places that lapsed, in ms. */
const EXPIRY_CHECK_MS = 250;

/** What becomes of a question for a place. */
export interface TransferPermitHandlers {
  /** The body may come. */
  readonly grant: () => void;
  /** It has no chance: a place is free after a time in ms. */
  readonly refuse: (waitMs: number) => void;
}

/**
 * Holds the questions of other daemons for a place for a long body until there
 * is one.
 *
 * @example
 * ```ts ignore
 * desk.ask({ id: "a", usefulMs: 1_000 }, {
 *   admit: () => response.writeHead(200).end(),
 *   refuse: () => response.writeHead(503).end(),
 * });
 * desk.arrived("a");
 * ```
 */
export class TransferPermitQueue {
  readonly #gate = new BodyGate();
  readonly #pendingGrants = new Map<string, () => void>();
  #checkTimer: NodeJS.Timeout | undefined;

  /**
   * Takes in a question.
   *
   * @param request The request for a place.
   * @param handlers What to do once its fate is known.
   */
  request(request: PlaceRequest, handlers: TransferPermitHandlers): void {
    const offer = this.#gate.ask(request, performance.now());
    switch (offer.kind) {
      case "admit":
        return handlers.grant();
      case "refuse":
        return handlers.refuse(offer.waitMs);
      case "wait":
        this.#enqueue(request.id, handlers.grant);
    }
  }

  #enqueue(id: string, grant: () => void): void {
    this.#pendingGrants.set(id, grant);
    this.#checkTimer ??= setInterval(
      () => this.#grantAll(this.#gate.advance(performance.now())),
      EXPIRY_CHECK_MS,
    );
  }

  /**
   * Frees the place of a request that is there or was given up.
   *
   * @param id Id of the request.
   */
  release(id: string): void {
    this.#pendingGrants.delete(id);
    this.#grantAll(this.#gate.arrived(id, performance.now()));
  }

  #grantAll(ids: readonly string[]): void {
    for (const id of ids) {
      this.#pendingGrants.get(id)?.();
      this.#pendingGrants.delete(id);
    }
    if (this.#pendingGrants.size > 0) return;
    clearInterval(this.#checkTimer);
    this.#checkTimer = undefined;
  }
}
