import {
  RolloutCoordinator,
  type RolloutWrite,
  VersionGate,
} from "../src/coordination/rollout/mod.ts";
import { Random } from "../src/protocol/random.ts";
import {
  isActivePhase,
  type RolloutOrder,
  RolloutPhase,
  type RolloutRecord,
} from "../src/protocol/rollout.ts";

/** Step of the simulated time, in ms. */
const TICK_MS = 50;
const DECIDE_EVERY_MS = 125;
/** Longest time until the first report of a daemon, in ms. */
const FIRST_REPORT_MS = 500;
const START_UNIX_MS = 1_800_000_000_000;
const FORMER = "v1";
const TARGET = "v2";
/** Time for which the simulation goes on after the time limit, in ms. */
const AFTER_MS = 6_000;

/** The result of one simulated request. */
export interface SimulatedResult {
  readonly isFailure: boolean;
  readonly serviceMs: number;
  /** Whether it counts as a bad answer of the target version. */
  readonly isBad: boolean;
}

/** A request whose result is to be simulated. */
export interface SimulatedRequest {
  readonly route: string;
  readonly isTarget: boolean;
  readonly elapsedMs: number;
  /** Requests per second that the target version gets at this moment. */
  readonly targetPerS: number;
  readonly random: Random;
}

/** Faults of the fleet and the store during a simulation. */
export interface SimulatedFaults {
  /** Share of the messages between daemons that are lost. */
  readonly lostShare: number;
  /** Longest delay of a daemon's view of the store, in ms. */
  readonly maxViewDelayMs: number;
  /** When the daemon that decides crashes, in ms; none if absent. */
  readonly crashAtMs?: number | undefined;
  /** When the daemon that decides hangs, and for how long, in ms. */
  readonly hangAtMs?: number | undefined;
  readonly hangForMs?: number | undefined;
  /** When the fleet is split in two halves, and for how long, in ms. */
  readonly splitAtMs?: number | undefined;
  readonly splitForMs?: number | undefined;
  /** Whether the second half reaches the store then. */
  readonly hasSplitStore?: boolean | undefined;
  /** When the store fails, and for how long, in ms. */
  readonly storeDownAtMs?: number | undefined;
  readonly storeDownForMs?: number | undefined;
}

/** Options of {@linkcode simulateRollout}. */
export interface SimulationOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly durationMs: number;
  readonly requestsPerS: number;
  readonly routes: readonly string[];
  readonly resultOf: (request: SimulatedRequest) => SimulatedResult;
  /** Whether a result is known after its response time, else at once. */
  readonly hasResponseTimes?: boolean;
  readonly faults: SimulatedFaults;
}

/** What a simulation shows. */
export interface SimulationOutcome {
  readonly phase: RolloutPhase | undefined;
  /** Time since the order at which that phase was written, in ms. */
  readonly phaseAtMs: number;
  /** Requests between the order and the time limit. */
  readonly requests: number;
  /** Those of them that the target version got. */
  readonly exposed: number;
  /** Requests to the target version later than 5 s after the 50th bad answer. */
  readonly lateExposed: number;
  /** Requests sent to a former version after the rollout was finished. */
  readonly afterFinish: number;
  /** Writes that raised the share although another daemon had taken over. */
  readonly rivalAdvances: number;
  /** Writes to the store. */
  readonly writes: number;
}

interface Stored {
  readonly record: RolloutRecord;
  readonly revision: number;
  readonly atMs: number;
}

interface SimulatedDaemon {
  readonly index: number;
  readonly gate: VersionGate;
  readonly coordinator: RolloutCoordinator;
  readonly viewDelayMs: number;
  /** Write whose result has not arrived. */
  pending: RolloutWrite | undefined;
  reportAtMs: number;
  reportedFailures: number;
  decideAtMs: number;
  hungUntilMs: number;
  hasCrashed: boolean;
}

/**
 * Simulates a fleet that moves a service to another version.
 *
 * @param options Fleet, versions and faults.
 * @returns What happened.
 *
 * @example
 * ```ts ignore
 * const { phase } = simulateRollout(options);
 * ```
 */
export function simulateRollout(options: SimulationOptions): SimulationOutcome {
  return new Simulation(options).run();
}

class Simulation {
  readonly #options: SimulationOptions;
  readonly #random: Random;
  readonly #order: RolloutOrder;
  readonly #daemons: SimulatedDaemon[];
  readonly #history: Stored[] = [];
  #nowMs = 0;
  #requests = 0;
  #exposed = 0;
  #lateExposed = 0;
  #afterFinish = 0;
  #bad = 0;
  #fiftiethBadAtMs = Infinity;
  #rivalAdvances = 0;
  #targetPerS = 0;
  #hasHung = false;
  /** Results by the step of time at which they arrive. */
  readonly #arrivals = new Map<number, (() => void)[]>();

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    this.#order = {
      service: "orders",
      targetVersion: TARGET,
      durationMs: options.durationMs,
    };
    this.#daemons = Array.from({ length: options.daemons }, (_, index) => {
      const gate = new VersionGate("orders");
      gate.observe(FORMER, true);
      gate.observe(TARGET);
      return {
        index,
        gate,
        coordinator: new RolloutCoordinator(`d${index}`, "orders"),
        viewDelayMs: this.#random.fraction() * options.faults.maxViewDelayMs,
        pending: undefined,
        reportAtMs: this.#random.fraction() * FIRST_REPORT_MS,
        reportedFailures: 0,
        decideAtMs: this.#random.fraction() * DECIDE_EVERY_MS,
        hungUntilMs: -Infinity,
        hasCrashed: false,
      };
    });
  }

  run(): SimulationOutcome {
    const endMs = this.#options.durationMs + AFTER_MS;
    for (this.#nowMs = 0; this.#nowMs < endMs; this.#nowMs += TICK_MS) {
      this.#injectFaults();
      this.#receiveResults();
      for (const daemon of this.#daemons) this.#runDaemon(daemon);
      this.#sendRequests();
    }
    const last = this.#history.at(-1)?.record;
    const first = this.#history.find(({ record }) =>
      record.phase === last?.phase
    );
    return {
      phase: last?.phase,
      phaseAtMs: first?.atMs ?? Infinity,
      requests: this.#requests,
      exposed: this.#exposed,
      lateExposed: this.#lateExposed,
      afterFinish: this.#afterFinish,
      rivalAdvances: this.#rivalAdvances,
      writes: this.#history.length,
    };
  }

  #isIn(fromMs: number | undefined, forMs: number | undefined): boolean {
    return fromMs !== undefined && this.#nowMs >= fromMs &&
      this.#nowMs < fromMs + (forMs ?? 0);
  }

  #isSplit(): boolean {
    const { splitAtMs, splitForMs } = this.#options.faults;
    return this.#isIn(splitAtMs, splitForMs);
  }

  #half(daemon: SimulatedDaemon): number {
    return daemon.index < this.#daemons.length / 2 ? 0 : 1;
  }

  #hasStore(daemon: SimulatedDaemon): boolean {
    const { storeDownAtMs, storeDownForMs, hasSplitStore } =
      this.#options.faults;
    if (this.#isIn(storeDownAtMs, storeDownForMs)) return false;
    return !this.#isSplit() || this.#half(daemon) === 0 ||
      hasSplitStore === true;
  }

  #injectFaults(): void {
    const { crashAtMs, hangAtMs, hangForMs } = this.#options.faults;
    const decider = this.#daemons.find(({ coordinator, hasCrashed }) =>
      coordinator.isDecider && !hasCrashed
    );
    if (decider === undefined) return;
    if (crashAtMs !== undefined && this.#nowMs === crashAtMs) {
      decider.hasCrashed = true;
    }
    const hangs = hangAtMs !== undefined && this.#nowMs >= hangAtMs;
    if (hangs && !this.#hasHung) {
      this.#hasHung = true;
      decider.hungUntilMs = this.#nowMs + (hangForMs ?? 0);
    }
  }

  #runs(daemon: SimulatedDaemon): boolean {
    return !daemon.hasCrashed && this.#nowMs >= daemon.hungUntilMs;
  }

  #runDaemon(daemon: SimulatedDaemon): void {
    if (!this.#runs(daemon)) return;
    const nowMs = this.#nowMs;
    this.#finishWrite(daemon);
    this.#readStore(daemon);
    const failures = daemon.gate.targetFailures - daemon.reportedFailures;
    if (nowMs >= daemon.reportAtMs || failures >= 5) this.#report(daemon);
    if (nowMs < daemon.decideAtMs) return;
    daemon.decideAtMs = nowMs + DECIDE_EVERY_MS;
    const alive = this.#daemons.filter(({ hasCrashed }) => !hasCrashed);
    const write = daemon.coordinator.next({
      nowMs,
      nowUnixMs: START_UNIX_MS + nowMs,
      viewAgeMs: this.#hasStore(daemon) ? daemon.viewDelayMs : Infinity,
      rank: alive.indexOf(daemon),
      daemons: this.#daemons.length,
      inUse: [...daemon.gate.inUse],
      announced: [FORMER, TARGET],
      formerInstances: this.#daemons.filter(({ hasCrashed }) => !hasCrashed)
        .map(({ index }) => `d${index}`),
      hasTarget: true,
    });
    daemon.pending = write;
  }

  #readStore(daemon: SimulatedDaemon): void {
    if (!this.#hasStore(daemon)) return;
    const seenAtMs = this.#nowMs - daemon.viewDelayMs;
    if (seenAtMs < 0) return;
    daemon.coordinator.setOrder(this.#order, {
      nowMs: this.#nowMs,
      nowUnixMs: START_UNIX_MS + this.#nowMs,
    });
    const seen = this.#history.filter(({ atMs }) => atMs <= seenAtMs).at(-1);
    if (seen === undefined) return;
    daemon.coordinator.setRecord(seen.record, seen.revision, this.#nowMs);
    daemon.gate.apply(seen.record);
  }

  /** A write takes one step, in which another daemon may write too. */
  #finishWrite(daemon: SimulatedDaemon): void {
    const write = daemon.pending;
    if (write === undefined) return;
    daemon.pending = undefined;
    const { coordinator } = daemon;
    if (!this.#hasStore(daemon)) {
      return coordinator.finishWrite({ kind: "failed" }, this.#nowMs);
    }
    const newest = this.#history.at(-1);
    if ((newest?.revision ?? 0) !== write.afterRevision) {
      return coordinator.finishWrite({ kind: "conflict" }, this.#nowMs);
    }
    const isAdvance = write.record.share > (newest?.record.share ?? 0);
    const isRival = newest !== undefined &&
      newest.record.decider !== write.record.decider;
    if (isAdvance && isRival) this.#rivalAdvances++;
    const revision = (newest?.revision ?? 0) + 1;
    this.#history.push({ record: write.record, revision, atMs: this.#nowMs });
    // The response of one write in ten is lost.
    const isLost = this.#random.fraction() < this.#options.faults.lostShare / 2;
    coordinator.finishWrite(
      isLost ? { kind: "failed" } : { kind: "written", revision },
      this.#nowMs,
    );
    if (!isLost) daemon.gate.apply(write.record);
  }

  #report(daemon: SimulatedDaemon): void {
    const { gate } = daemon;
    daemon.reportAtMs = this.#nowMs + gate.reportEveryMs;
    daemon.reportedFailures = gate.targetFailures;
    const report = gate.buildReport({
      instance: `d${daemon.index}`,
      epoch: 1,
      openRequests: 0,
    });
    const decider = this.#daemons.find(({ index }) =>
      `d${index}` === gate.record?.decider
    );
    if (report === undefined || decider === undefined) return;
    if (!this.#runs(decider) || this.#isLost(daemon, decider)) return;
    const answer = decider.coordinator.receive(report, this.#nowMs);
    if (answer === undefined || this.#isLost(decider, daemon)) return;
    gate.confirm(answer, this.#nowMs);
  }

  #isLost(from: SimulatedDaemon, to: SimulatedDaemon): boolean {
    if (from === to) return false;
    if (this.#isSplit() && this.#half(from) !== this.#half(to)) return true;
    return this.#random.fraction() < this.#options.faults.lostShare;
  }

  #receiveResults(): void {
    const tick = this.#nowMs / TICK_MS;
    for (const record of this.#arrivals.get(tick) ?? []) record();
    this.#arrivals.delete(tick);
  }

  #sendRequests(): void {
    const { requestsPerS, daemons } = this.#options;
    const expected = requestsPerS * TICK_MS / 1_000;
    const count = Math.floor(expected) +
      (this.#random.fraction() < expected % 1 ? 1 : 0);
    let toTarget = 0;
    for (let sent = 0; sent < count; sent++) {
      const daemon = this.#daemons[this.#random.below(daemons)]!;
      if (this.#runs(daemon) && this.#sendRequest(daemon)) toTarget++;
    }
    const perS = toTarget * 1_000 / TICK_MS;
    this.#targetPerS = this.#targetPerS * 0.9 + perS * 0.1;
  }

  #sendRequest(daemon: SimulatedDaemon): boolean {
    const { routes, resultOf, durationMs, daemons, hasResponseTimes } =
      this.#options;
    const nowMs = this.#nowMs;
    const choice = daemon.gate.choose({
      isFirst: true,
      fraction: this.#random.fraction(),
      nowMs,
      daemons,
    });
    const isTarget = choice.kind === "versions" && choice.isTarget;
    const elapsedMs = nowMs;
    if (elapsedMs < durationMs) {
      this.#requests++;
      if (isTarget) this.#exposed++;
    }
    const isLate = nowMs > this.#fiftiethBadAtMs + 5_000;
    if (isTarget) daemon.gate.recordExposed();
    if (isTarget && isLate) this.#lateExposed++;
    const route = this.#random.pick(routes)!;
    const result = resultOf({
      route,
      isTarget,
      elapsedMs,
      targetPerS: this.#targetPerS,
      random: this.#random,
    });
    const phase = this.#history.at(-1)?.record.phase;
    // A daemon beside a former backend server refuses it once it knows.
    if (!isTarget && phase === RolloutPhase.Finished) {
      const isAdmitted = this.#daemons.some(({ gate, hasCrashed }) =>
        !hasCrashed && gate.admits(FORMER, nowMs)
      );
      if (isAdmitted) this.#afterFinish++;
    }
    if (isTarget && result.isBad && ++this.#bad === 50) {
      this.#fiftiethBadAtMs = nowMs;
    }
    const responseMs = hasResponseTimes === true ? result.serviceMs : 0;
    const arrivesAtTick = Math.floor((nowMs + responseMs) / TICK_MS) + 1;
    const arrivals = this.#arrivals.get(arrivesAtTick) ?? [];
    this.#arrivals.set(arrivesAtTick, arrivals);
    arrivals.push(() =>
      daemon.gate.recordResult({
        route,
        version: isTarget ? TARGET : FORMER,
        isFailure: result.isFailure,
        serviceMs: result.serviceMs,
      })
    );
    return isTarget;
  }
}

/** Whether a simulated rollout has not ended. */
export function isUndecided(outcome: SimulationOutcome): boolean {
  return outcome.phase === undefined || isActivePhase(outcome.phase);
}
