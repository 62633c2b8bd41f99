import type { Random } from "../../protocol/random.ts";

/** What the failure detector learns. */
export type DetectorEvent =
  | { readonly kind: "tick"; readonly peers: readonly string[] }
  | { readonly kind: "missed"; readonly id: string }
  | { readonly kind: "suspected"; readonly id: string }
  | { readonly kind: "cleared"; readonly id: string };

/** What the failure detector wants done. */
export type DetectorCommand =
  | { readonly kind: "probe"; readonly id: string }
  | { readonly kind: "suspect"; readonly id: string }
  | { readonly kind: "declare-dead"; readonly id: string };

/** Timing of a {@linkcode FailureDetector}. */
export interface DetectorOptions {
  /** Time between probes, in ms. */
  readonly periodMs: number;
  /** Time that a suspected member has to refute, in ms. */
  readonly suspicionMs: number;
}

/** A tick that comes this many periods late shows that this process paused. */
const PAUSE_PERIODS = 2.5;
/** Ticks after a pause in which no member is accused. */
const QUIET_TICKS_AFTER_PAUSE = 2;

/**
 * Decides whom to probe, whom to suspect and whom to declare dead.
 *
 * Probes go round the members in shuffled order, so that each is probed within
 * a bounded time. A daemon that notices that it was paused itself accuses
 * nobody and gives every suspect its time again.
 *
 * @example
 * ```ts
 * const detector = new FailureDetector(new Random(1), { periodMs: 1000, suspicionMs: 4000 });
 * detector.step({ kind: "tick", peers: ["b"] }, 0); // [{ kind: "probe", id: "b" }]
 * ```
 */
export class FailureDetector {
  readonly #random: Random;
  readonly #options: DetectorOptions;
  readonly #deadlineMsById = new Map<string, number>();
  #round: string[] = [];
  #lastTickMs: number | undefined;
  #quietTicks = 0;

  /**
   * Creates a detector.
   *
   * @param random Order of the probes.
   * @param options Timing.
   */
  constructor(random: Random, options: DetectorOptions) {
    this.#random = random;
    this.#options = options;
  }

  /** Number of members under suspicion. */
  get suspectCount(): number {
    return this.#deadlineMsById.size;
  }

  /**
   * Takes in an event.
   *
   * @param event What happened.
   * @param nowMs Monotonic time.
   * @returns What is to be done.
   */
  step(event: DetectorEvent, nowMs: number): DetectorCommand[] {
    switch (event.kind) {
      case "tick":
        return this.#tick(event.peers, nowMs);
      case "missed":
        if (this.#quietTicks > 0 || this.#isLate(nowMs)) return [];
        return [{ kind: "suspect", id: event.id }];
      case "suspected":
        if (!this.#deadlineMsById.has(event.id)) {
          const deadlineMs = nowMs + this.#options.suspicionMs;
          this.#deadlineMsById.set(event.id, deadlineMs);
        }
        return [];
      case "cleared":
        this.#deadlineMsById.delete(event.id);
        return [];
    }
  }

  #tick(peers: readonly string[], nowMs: number): DetectorCommand[] {
    if (this.#isLate(nowMs)) this.#pardonAll(nowMs);
    else if (this.#quietTicks > 0) this.#quietTicks--;
    this.#lastTickMs = nowMs;
    const commands = this.#expired(nowMs);
    const id = this.#nextTarget(peers);
    if (id !== undefined) commands.push({ kind: "probe", id });
    return commands;
  }

  #isLate(nowMs: number): boolean {
    return this.#lastTickMs !== undefined &&
      nowMs - this.#lastTickMs > PAUSE_PERIODS * this.#options.periodMs;
  }

  #pardonAll(nowMs: number): void {
    this.#quietTicks = QUIET_TICKS_AFTER_PAUSE;
    for (const id of this.#deadlineMsById.keys()) {
      this.#deadlineMsById.set(id, nowMs + this.#options.suspicionMs);
    }
  }

  #expired(nowMs: number): DetectorCommand[] {
    const commands: DetectorCommand[] = [];
    for (const [id, deadlineMs] of this.#deadlineMsById) {
      if (nowMs < deadlineMs) continue;
      this.#deadlineMsById.delete(id);
      commands.push({ kind: "declare-dead", id });
    }
    return commands;
  }

  #nextTarget(peers: readonly string[]): string | undefined {
    const current = new Set(peers);
    this.#round = this.#round.filter((id) => current.has(id));
    if (this.#round.length === 0) {
      this.#round = this.#random.sample(peers, peers.length);
    }
    return this.#round.pop();
  }
}
