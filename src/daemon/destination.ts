import {
  AdmissionQueue,
  type ReleaseResult,
} from "../coordination/admission/admission_queue.ts";
import type { QuarantineList } from "../coordination/quarantine/quarantine_list.ts";
import type {
  AnswerSink,
  Call,
  Execution,
  RetryAllowance,
} from "../protocol/call.ts";
import { SettleState } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { notRun, Reason } from "../protocol/outcome.ts";
import type { Rank } from "../protocol/rank.ts";
import type { ConfigStore } from "../state/config_store.ts";
import { RequestLedger, type SettleQuery } from "../state/request_ledger.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { BackendTask } from "./backend_task.ts";
import type { ClaimClient } from "./claim_client.ts";
import { monotonicMs } from "./clocks.ts";
import { DestinationCall } from "./destination_call.ts";
import type { FleetBus } from "./fleet_bus.ts";

/** The parts of a destination that its calls use. */
export interface DestinationContext {
  readonly admission: AdmissionQueue;
  readonly ledger: RequestLedger;
  readonly backend: BackendTask;
  readonly claims: ClaimClient;
  /** Records that a request was served, which clears it of crash suspicion. */
  recordServed(fingerprint: string): void;
  /** Removes a call that ended. */
  remove(call: DestinationCall): void;
  /** Starts the waiting calls that got a slot and refuses the expired ones. */
  applyReleased(released: ReleaseResult): void;
  /** Records the running requests as suspects of a possible crash. */
  recordCrashSuspects(): void;
  /** Reports a confirmed crash with the recorded suspects. */
  reportCrash(): void;
}

/** Options of a {@linkcode Destination}. */
export interface DestinationOptions {
  readonly selfId: string;
  readonly config: ConfigStore;
  readonly backend: BackendTask;
  readonly claims: ClaimClient;
  readonly quarantine: QuarantineList;
  readonly bus: FleetBus;
  readonly log: EventLog;
}

/** The request on whose behalf a backend server makes a call. */
export interface ParentCall {
  readonly rank: Rank;
  readonly deadlineMs: number;
  readonly depth: number;
  readonly retries: RetryAllowance;
}

const INITIAL_SHARES = { urgent: 1, standard: 0, bulk: 0 };

/**
 * Executes calls on the local backend server.
 *
 * It checks again that the service's owner approved the caller, enforces the
 * number of slots, queues waiting calls by rank, and keeps the ledger that
 * proves which calls did not run.
 *
 * @example
 * ```ts ignore
 * const execution = destination.execute(call, sink);
 * ```
 */
export class Destination implements DestinationContext {
  readonly admission = new AdmissionQueue(1, {
    shares: INITIAL_SHARES,
    queuePerRank: 1,
  });
  readonly ledger = new RequestLedger(monotonicMs());
  readonly backend: BackendTask;
  readonly claims: ClaimClient;
  readonly quarantine: QuarantineList;
  readonly #options: DestinationOptions;
  readonly #calls = new Map<string, DestinationCall>();
  #isDraining = false;
  #crashSuspects: Set<string> | undefined;

  /**
   * Creates a destination.
   *
   * @param options Dependencies.
   */
  constructor(options: DestinationOptions) {
    this.#options = options;
    this.backend = options.backend;
    this.claims = options.claims;
    this.quarantine = options.quarantine;
  }

  /** Number of calls that are waiting or running. */
  get active(): number {
    return this.#calls.size;
  }

  /** Refuses new calls from now on. */
  drain(): void {
    this.#isDraining = true;
  }

  /** Applies a changed configuration or backend server announcement. */
  reconfigure(): void {
    const { service: name, slots } = this.backend.status;
    const service = this.#options.config.snapshot?.findService(name);
    if (service === undefined) return;
    this.admission.policy = service;
    this.admission.limit.slots = slots;
    this.applyReleased(this.admission.startWaiting(monotonicMs()));
  }

  /**
   * Executes a call, or refuses it.
   *
   * @param call The call.
   * @param sink Receiver of the response.
   * @returns A handle to cancel it.
   */
  execute(call: Call, sink: AnswerSink): Execution {
    const service = this.#options.config.snapshot?.findService(call.service);
    const reason = this.#refusalReason(call);
    if (service === undefined || reason !== undefined) {
      const nowMs = monotonicMs();
      if (this.ledger.admit(call.id, nowMs)) this.ledger.refuse(call.id, nowMs);
      sink.onRefused(
        notRun(reason ?? Reason.NotReady, isRetryableElsewhere(reason)),
      );
      return NO_EXECUTION;
    }
    const destinationCall = new DestinationCall(call, {
      service,
      sink,
      context: this,
    });
    if (!this.ledger.admit(call.id, monotonicMs())) {
      sink.onRefused(notRun(Reason.Cancelled));
      return NO_EXECUTION;
    }
    this.#calls.set(call.id, destinationCall);
    destinationCall.admit();
    return destinationCall;
  }

  /**
   * Finds the call that an outgoing call of the backend server belongs to.
   *
   * @param id Id of the parent call's attempt.
   * @returns The parent call; `undefined` if it does not run here.
   */
  findParent(id: string): ParentCall | undefined {
    return this.#calls.get(id)?.call;
  }

  /**
   * Returns the state of a call whose response was lost.
   *
   * @param id The attempt's id.
   * @param query Its age, and whether to cancel it if it has not started.
   * @returns The state; "not run" is final.
   */
  settle(id: string, query: SettleQuery): SettleState {
    const state = this.ledger.settle(id, query, monotonicMs());
    if (state === SettleState.NOT_RUN) this.#calls.get(id)?.settleNotRun();
    return state;
  }

  recordServed(fingerprint: string): void {
    const cleared = this.quarantine.recordSuccess(fingerprint);
    if (cleared === undefined) return;
    void this.#options.bus.emit("quarantinesChanged", {
      quarantines: [cleared],
      isLocal: true,
    });
  }

  remove(call: DestinationCall): void {
    this.#calls.delete(call.id);
  }

  applyReleased(released: ReleaseResult): void {
    for (const { id } of released.expired) {
      this.#calls.get(id)?.refuse(notRun(Reason.DeadlineExceeded));
    }
    for (const { id } of released.started) this.#calls.get(id)?.start();
  }

  recordCrashSuspects(): void {
    if (this.#crashSuspects !== undefined) return;
    this.#crashSuspects = new Set(
      [...this.#calls.values()].filter((call) => call.isRunning)
        .map((call) => call.call.fingerprint),
    );
    // Suspects are dropped unless the crash is confirmed in time.
    setTimeout(() => this.#crashSuspects = undefined, SUSPECT_TTL_MS).unref();
  }

  reportCrash(): void {
    const suspects = this.#crashSuspects;
    if (suspects === undefined || suspects.size === 0) return;
    this.#crashSuspects = new Set();
    const { service, readyAtMs } = this.backend.status;
    const quarantines = this.quarantine.recordCrash({
      id: crashIdOf(this.#options.selfId, readyAtMs),
      service,
      fingerprints: [...suspects],
    }, monotonicMs());
    this.#options.log.warn("backend-crashed", {
      service,
      running: suspects.size,
      suspects: quarantines.length,
    });
    void this.#options.bus.emit("quarantinesChanged", {
      quarantines,
      isLocal: true,
    });
  }

  #refusalReason(call: Call): Reason | undefined {
    const { snapshot } = this.#options.config;
    if (snapshot === undefined) return Reason.NotReady;
    if (!snapshot.isApproved(call.caller, call.service)) {
      return Reason.NotApproved;
    }
    if (this.#isDraining) return Reason.Draining;
    if (this.backend.announcement?.service !== call.service) {
      return Reason.NotReady;
    }
    if (!this.backend.isReady) return Reason.NotReady;
    if (this.quarantine.isQuarantined(call.fingerprint, monotonicMs())) {
      return Reason.Quarantined;
    }
    return undefined;
  }
}

/**
 * Returns an id for a crash, so that all daemons that saw it count it once.
 *
 * @param memberId Id of the backend server's daemon.
 * @param readyAtMs Unix time at which the backend server became ready.
 * @returns The crash's id.
 *
 * @example
 * ```ts
 * crashIdOf("east-1", 5); // "east-1/5"
 * ```
 */
export function crashIdOf(memberId: string, readyAtMs: number): string {
  return `${memberId}/${readyAtMs}`;
}

/** Time within which a crash has to be confirmed, in ms. */
const SUSPECT_TTL_MS = 1_000;

const NO_EXECUTION: Execution = { cancel: () => {}, resume: () => {} };

function isRetryableElsewhere(reason: Reason | undefined): boolean {
  return reason !== Reason.NotApproved && reason !== Reason.Quarantined;
}
