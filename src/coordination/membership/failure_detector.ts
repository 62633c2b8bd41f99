import type { Random } from "../../protocol/random.ts";

/** Input of the failure detector. */
export type DetectorEvent =
  | { readonly kind: "tick"; readonly peers: readonly string[] }
  | { readonly kind: "missed"; readonly id: string }
  | { readonly kind: "suspected"; readonly id: string }
  | { readonly kind: "cleared"; readonly id: string };

/** Action that the failure detector requests. */
export type DetectorCommand =
  | { readonly kind: "probe"; readonly id: string }
  | { readonly kind: "suspect"; readonly id: string }
  | { readonly kind: "declare-dead"; readonly id: string };

/** Timing of a {@linkcode FailureDetector}. */
export interface DetectorOptions {
  /** Time between probes, in ms. */
  readonly periodMs: number;
  /** Time within which a suspected member can refute the suspicion, in ms. */
  readonly suspicionMs: number;
}

/** Periods without a tick after which this process counts as paused. */
const PAUSE_PERIODS = 2.5;
/** Number of ticks after a pause during which no member is suspected. */
const QUIET_TICKS_AFTER_PAUSE = 2;

/**
 * Decides which members to probe, to suspect and to declare dead.
 *
 * Members are probed in shuffled rounds, so that each is probed within a
 * bounded time. After a pause of its own process, a daemon suspects no member
 * for a few ticks and restarts the deadlines of all suspected members.
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
  #remainingTargets: string[] = [];
  #lastTickMs: number | undefined;
  #quietTicks = 0;

  /**
   * Creates a detector.
   *
   * @param random Random source for the order of the probes.
   * @param options Timing.
   */
  constructor(random: Random, options: DetectorOptions) {
    this.#random = random;
    this.#options = options;
  }

  /** Number of suspected members. */
  get suspectCount(): number {
    return this.#deadlineMsById.size;
  }

  /**
   * Handles an event.
   *
   * @param event The event.
   * @param nowMs Monotonic time in ms.
   * @returns The actions to take.
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
    if (this.#isLate(nowMs)) this.#restartSuspicions(nowMs);
    else if (this.#quietTicks > 0) this.#quietTicks--;
    this.#lastTickMs = nowMs;
    const commands = this.#expireSuspicions(nowMs);
    const id = this.#nextTarget(peers);
    if (id !== undefined) commands.push({ kind: "probe", id });
    return commands;
  }

  #isLate(nowMs: number): boolean {
    return this.#lastTickMs !== undefined &&
      nowMs - this.#lastTickMs > PAUSE_PERIODS * this.#options.periodMs;
  }

  #restartSuspicions(nowMs: number): void {
    this.#quietTicks = QUIET_TICKS_AFTER_PAUSE;
    for (const id of this.#deadlineMsById.keys()) {
      this.#deadlineMsById.set(id, nowMs + this.#options.suspicionMs);
    }
  }

  #expireSuspicions(nowMs: number): DetectorCommand[] {
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
    this.#remainingTargets = this.#remainingTargets.filter((id) =>
      current.has(id)
    );
    if (this.#remainingTargets.length === 0) {
      this.#remainingTargets = this.#random.sample(peers, peers.length);
    }
    return this.#remainingTargets.pop();
  }
}
