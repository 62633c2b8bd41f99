import { BodyGate } from "../coordination/dispatch/mod.ts";

/** Pause between two looks for places that lapsed, in ms. */
const LAPSE_CHECK_MS = 250;

/**
 * Holds the questions of other daemons for a place for a long body until there
 * is one.
 *
 * @example
 * ```ts ignore
 * desk.ask("a", () => response.writeHead(200).end());
 * desk.arrived("a");
 * ```
 */
export class PlaceDesk {
  readonly #gate = new BodyGate();
  readonly #admit = new Map<string, () => void>();
  #check: NodeJS.Timeout | undefined;

  /**
   * Takes in a question.
   *
   * @param id Id of the request.
   * @param admit Called once the body may come.
   */
  ask(id: string, admit: () => void): void {
    if (this.#gate.ask(id, performance.now())) return admit();
    this.#admit.set(id, admit);
    this.#check ??= setInterval(
      () => this.#answer(this.#gate.advance(performance.now())),
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
    this.#answer(this.#gate.arrived(id, performance.now()));
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
