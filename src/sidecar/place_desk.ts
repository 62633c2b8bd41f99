import {
  type PermitRequest,
  TransferLimiter,
} from "../coordination/dispatch/mod.ts";

/** Pause between two looks for places that lapsed, in ms. */
const LAPSE_CHECK_MS = 250;

/** What becomes of a question for a place. */
export interface PlaceAnswers {
  /** The body may come. */
  readonly admit: () => void;
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
export class PlaceDesk {
  readonly #gate = new TransferLimiter();
  readonly #admit = new Map<string, () => void>();
  #check: NodeJS.Timeout | undefined;

  /**
   * Takes in a question.
   *
   * @param request The request for a place.
   * @param answers What to do once its fate is known.
   */
  ask(request: PermitRequest, answers: PlaceAnswers): void {
    const offer = this.#gate.requestPermit(request, performance.now());
    switch (offer.kind) {
      case "admit":
        return answers.admit();
      case "refuse":
        return answers.refuse(offer.waitMs);
      case "wait":
        this.#await(request.id, answers.admit);
    }
  }

  #await(id: string, admit: () => void): void {
    this.#admit.set(id, admit);
    this.#check ??= setInterval(
      () => this.#answer(this.#gate.grantFree(performance.now())),
      LAPSE_CHECK_MS,
    );
  }

  /**
   * Frees the place of a request that is there or was given up.
   *
   * @param id Id of the request.
   */
  arrived(id: string): void {
    this.#admit.delete(id);
    this.#answer(this.#gate.release(id, performance.now()));
  }

  #answer(ids: readonly string[]): void {
    for (const id of ids) {
      this.#admit.get(id)?.();
      this.#admit.delete(id);
    }
    if (this.#admit.size > 0) return;
    clearInterval(this.#check);
    this.#check = undefined;
  }
}
