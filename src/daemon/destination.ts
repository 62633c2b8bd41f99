import {
  AdmissionQueue,
  type Released,
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

/** What a call at its destination uses of the destination. */
export interface DestinationContext {
  readonly admission: AdmissionQueue;
  readonly ledger: RequestLedger;
  readonly backend: BackendTask;
  readonly claims: ClaimClient;
  /** Records that a request was served, which clears it of suspicion. */
  served(fingerprint: string): void;
  /** Forgets a call that ended. */
  ended(call: DestinationCall): void;
  /** Starts and expires waiting calls. */
  apply(released: Released): void;
  /** Remembers what runs now as suspects of a crash. */
  noteCrashSuspects(): void;
  /** Reports the remembered suspects. */
  reportCrash(): void;
}

/** What a {@linkcode Destination} needs. */
export interface DestinationOptions {
  readonly selfId: string;
  readonly config: ConfigStore;
  readonly backend: BackendTask;
  readonly claims: ClaimClient;
  readonly quarantine: QuarantineList;
  readonly bus: FleetBus;
  readonly log: EventLog;
}

/** The request on whose behalf a backend server calls. */
export interface ParentCall {
  readonly rank: Rank;
  readonly deadlineMs: number;
  readonly depth: number;
  readonly retries: RetryAllowance;
}

const NO_SHARES = { urgent: 1, standard: 0, bulk: 0 };

/**
 * Executes calls on the backend server beside this daemon.
 *
 * It checks the owner's approval again, counts the slots exactly, orders the
 * waiting calls by rank and keeps the ledger that proves what did not run.
 *
 * @example
 * ```ts ignore
 * const execution = destination.execute(call, sink);
 * ```
 */
export class Destination implements DestinationContext {
  readonly admission = new AdmissionQueue(1, {
    shares: NO_SHARES,
    queuePerRank: 1,
  });
  readonly ledger = new RequestLedger(monotonicMs());
  readonly backend: BackendTask;
  readonly claims: ClaimClient;
  readonly quarantine: QuarantineList;
  readonly #options: DestinationOptions;
  readonly #calls = new Map<string, DestinationCall>();
  #isDraining = false;
  #suspects: Set<string> | undefined;

  /**
   * Creates a destination.
   *
   * @param options Its parts.
   */
  constructor(options: DestinationOptions) {
    this.#options = options;
    this.backend = options.backend;
    this.claims = options.claims;
    this.quarantine = options.quarantine;
  }

  /** Number of calls that wait or run. */
  get active(): number {
    return this.#calls.size;
  }

  /** Refuses new calls from now on. */
  drain(): void {
    this.#isDraining = true;
  }

  /** Takes in a changed configuration or backend server. */
  reconfigure(): void {
    const { service: name, slots } = this.backend.status;
    const service = this.#options.config.snapshot?.findService(name);
    if (service === undefined) return;
    this.admission.policy = service;
    this.admission.limit.slots = slots;
    this.apply(this.admission.startWaiting(monotonicMs()));
  }

  /**
   * Executes a call, or refuses it.
   *
   * @param call The call.
   * @param sink Receiver of the answer.
   * @returns A handle to cancel it.
   */
  execute(call: Call, sink: AnswerSink): Execution {
    const service = this.#options.config.snapshot?.findService(call.service);
    const reason = this.#reasonToRefuse(call);
    if (service === undefined || reason !== undefined) {
      const nowMs = monotonicMs();
      if (this.ledger.admit(call.id, nowMs)) this.ledger.refuse(call.id, nowMs);
      sink.onRefused(
        notRun(reason ?? Reason.NotReady, isElsewherePossible(reason)),
      );
      return NOTHING;
    }
    const running = new DestinationCall(call, { service, sink, context: this });
    if (!this.ledger.admit(call.id, monotonicMs())) {
      sink.onRefused(notRun(Reason.Cancelled));
      return NOTHING;
    }
    this.#calls.set(call.id, running);
    running.admit();
    return running;
  }

  /**
   * Returns the context of a running call, for calls on its behalf.
   *
   * @param id The attempt's id.
   * @returns The context, if the call runs here.
   */
  parent(id: string): ParentCall | undefined {
    return this.#calls.get(id)?.call;
  }

  /**
   * Settles what became of a call whose answer was lost.
   *
   * @param id The attempt's id.
   * @param question Its age, and whether it is given up where it waits.
   * @returns What is known; "not run" is final.
   */
  settle(id: string, question: SettleQuery): SettleState {
    const state = this.ledger.settle(id, question, monotonicMs());
    if (state === SettleState.NOT_RUN) this.#calls.get(id)?.settleNotRun();
    return state;
  }

  served(fingerprint: string): void {
    const cleared = this.quarantine.served(fingerprint);
    if (cleared === undefined) return;
    void this.#options.bus.emit("quarantineNews", {
      quarantines: [cleared],
      isOwn: true,
    });
  }

  ended(call: DestinationCall): void {
    this.#calls.delete(call.id);
  }

  apply(released: Released): void {
    for (const { id } of released.expired) {
      this.#calls.get(id)?.refuse(notRun(Reason.DeadlineExceeded));
    }
    for (const { id } of released.started) this.#calls.get(id)?.start();
  }

  noteCrashSuspects(): void {
    if (this.#suspects !== undefined) return;
    this.#suspects = new Set(
      [...this.#calls.values()].filter((call) => call.isRunning)
        .map((call) => call.call.fingerprint),
    );
    // What is not confirmed as a crash is no suspicion.
    setTimeout(() => this.#suspects = undefined, SUSPECT_MEMORY_MS).unref();
  }

  reportCrash(): void {
    const suspects = this.#suspects;
    if (suspects === undefined || suspects.size === 0) return;
    this.#suspects = new Set();
    const { service, readyAtMs } = this.backend.status;
    const quarantines = this.quarantine.crashed({
      id: crashIdOf(this.#options.selfId, readyAtMs),
      service,
      fingerprints: [...suspects],
    }, monotonicMs());
    this.#options.log.warn("backend-crashed", {
      service,
      running: suspects.size,
      suspects: quarantines.length,
    });
    void this.#options.bus.emit("quarantineNews", {
      quarantines,
      isOwn: true,
    });
  }

  #reasonToRefuse(call: Call): Reason | undefined {
    const { snapshot } = this.#options.config;
    if (snapshot === undefined) return Reason.NotReady;
    if (!snapshot.isApproved(call.caller, call.service)) {
      return Reason.NotApproved;
    }
    if (this.#isDraining) return Reason.Draining;
    if (this.backend.announced?.service !== call.service) {
      return Reason.NotReady;
    }
    if (!this.backend.isReady) return Reason.NotReady;
    if (this.quarantine.isRefused(call.fingerprint, monotonicMs())) {
      return Reason.Quarantined;
    }
    return undefined;
  }
}

/**
 * Names a crash, so that all who saw it count it once.
 *
 * @param memberId Id of the daemon beside the backend server.
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

/** Time for which suspects wait for the crash to be confirmed, in ms. */
const SUSPECT_MEMORY_MS = 1_000;

const NOTHING: Execution = { cancel: () => {}, resume: () => {} };

function isElsewherePossible(reason: Reason | undefined): boolean {
  return reason !== Reason.NotApproved && reason !== Reason.Quarantined;
}
