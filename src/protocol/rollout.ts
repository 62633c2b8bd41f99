/** Phase of the traffic of a service with respect to its latest order. */
export enum RolloutPhase {
  /** No order has been taken up. */
  Idle = "idle",
  /** A share of the requests goes to the target version. */
  Running = "running",
  /** All requests go to the target version; earlier ones are still ending. */
  Draining = "draining",
  /** The target version is in use, and the former ones have stopped. */
  Finished = "finished",
  /** The target version gets no requests any more. */
  RolledBack = "rolled_back",
}

/** The operator's order to move a service to another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly targetVersion: string;
  /** Time from the order within which the traffic is to move, in ms. */
  readonly durationMs: number;
}

/** What the operator is told about an order. */
export interface RolloutStatus {
  readonly service: string;
  readonly targetVersion: string;
  readonly phase: RolloutPhase;
}

/** Decisions about the versions of one service, which all daemons follow. */
export interface RolloutRecord {
  readonly service: string;
  /** Increases with each write. */
  readonly sequence: number;
  readonly phase: RolloutPhase;
  /** Versions that requests use beside the share of the target version. */
  readonly inUse: readonly string[];
  /** Instance of the daemon that decides. */
  readonly decider: string;
  /** Target version of the latest order; empty before the first one. */
  readonly targetVersion: string;
  /** Share of the requests that the target version gets, 0 to 1. */
  readonly share: number;
  /** When the order was taken up, in Unix ms. */
  readonly startedAtUnixMs: number;
  /** Time limit of the order, in Unix ms. */
  readonly endsAtUnixMs: number;
}

/**
 * Returns whether requests move between versions.
 *
 * @param phase The phase.
 * @returns Whether they do.
 *
 * @example
 * ```ts
 * isActivePhase(RolloutPhase.Idle); // false
 * ```
 */
export function isActivePhase(phase: RolloutPhase): boolean {
  switch (phase) {
    case RolloutPhase.Running:
    case RolloutPhase.Draining:
      return true;
    case RolloutPhase.Idle:
    case RolloutPhase.Finished:
    case RolloutPhase.RolledBack:
      return false;
  }
}

/** Results of the requests of one route at one side of a rollout. */
export interface SampleCounts {
  readonly requests: number;
  /** Responses that are failures, and requests without a response. */
  readonly failures: number;
  /** Numbers of responses by class of response time, from the fastest. */
  readonly times: readonly number[];
}

/** Results of one route at the former versions and at the target version. */
export interface RouteSamples {
  readonly route: string;
  readonly former: SampleCounts;
  readonly target: SampleCounts;
}

/** What one daemon tells the deciding daemon. */
export interface RolloutReport {
  readonly service: string;
  readonly targetVersion: string;
  readonly instance: string;
  /** Distinguishes the processes of the daemon. */
  readonly epoch: number;
  /** Newest decision that the daemon follows. */
  readonly sequence: number;
  /** Requests that wait or run at the daemon's own backend server. */
  readonly openRequests: number;
  /** Sums since the daemon has known the order. */
  readonly routes: readonly RouteSamples[];
}
