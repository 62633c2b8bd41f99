import type { Buffer } from "node:buffer";
import { rewritePeriodMs } from "../coordination/eras/mod.ts";
import {
  findInitial,
  RolloutReason,
  type RolloutWrite,
  VersionGate,
} from "../coordination/rollout/mod.ts";
import { RolloutCoordinator } from "../coordination/rollout/mod.ts";
import type { BackendRecord } from "../protocol/mesh.ts";
import type { Random } from "../protocol/random.ts";
import type { RolloutRecord } from "../protocol/rollout.ts";
import { messageOf } from "../protocol/step_error.ts";
import type { StoreEntry } from "../protocol/store.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import type { MeshStore, RolloutWire } from "./ports.ts";
import {
  decodeRolloutRecord,
  decodeRolloutReport,
  encodeRollout,
  ROLLOUT_PREFIX,
} from "./rollout_codec.ts";
import { findRecord, situationOf } from "./rollout_election.ts";
import { isRolloutDecision, logWrite } from "./rollout_log.ts";
import { VersionFilter } from "./version_filter.ts";

/** Pause between two decisions, in ms. */
const DECIDE_EVERY_MS = 125;
/** The pause between two reports grows with the fleet, up to a bound in ms. */
const MAX_REPORT_EVERY_MS = 1_000;
const REPORT_EVERY_MS_PER_DAEMON = 0.5;
/** New failures of the target version that are reported at once. */
const MIN_FAILURES_FOR_REPORT = 5;
/** Longest time that an order is taken to have been on its way, in ms. */
const MAX_ORDER_AGE_MS = 1_500;

/** Options of a {@linkcode RolloutTask}. */
export interface RolloutTaskOptions {
  readonly instance: string;
  readonly store: MeshStore;
  readonly wire: RolloutWire;
  readonly directory: BackendDirectory;
  readonly random: Random;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
  /** Age of this daemon's view of the store, in ms. */
  readonly viewAgeMs: () => number;
  /** Requests that wait or run at the local backend server. */
  readonly openRequests: () => number;
  /** Sends a report to another daemon; returns its decision, if it decides. */
  readonly sendReport: (
    record: BackendRecord,
    report: Buffer,
  ) => Promise<Buffer | undefined>;
}

/** What this daemon knows about the versions of a service. */
interface ServiceState {
  readonly service: string;
  readonly gate: VersionGate;
  readonly coordinator: RolloutCoordinator;
  reportAtMs: number;
  reportedFailures: number;
  isReporting: boolean;
}

/**
 * Moves the services to other versions by the operator's orders, and tells
 * which backend servers requests may use.
 *
 * @example
 * ```ts ignore
 * const { records } = rollouts.versions.filter("orders", ready, true);
 * ```
 */
export class RolloutTask {
  readonly #options: RolloutTaskOptions;
  readonly #services = new Map<string, ServiceState>();
  /** Tells which backend servers requests may use. */
  readonly versions: VersionFilter;
  /** Distinguishes this process from earlier ones of the daemon. */
  readonly #epoch = Date.now();
  #hasListed = false;
  /** Era of the store; `undefined` if it names none. */
  #era: number | undefined;
  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates a task without versions.
   *
   * @param options Store, directory and other daemons.
   */
  constructor(options: RolloutTaskOptions) {
    this.#options = options;
    this.versions = new VersionFilter({
      ...options,
      gateOf: (service) => this.#services.get(service)?.gate,
    });
  }

  /** Stops deciding and reporting. */
  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  /**
   * Learns which versions the backend servers have that were there before this
   * daemon.
   */
  handleFirstListing(): void {
    if (this.#hasListed) return;
    this.#hasListed = true;
    const records = [...this.#options.directory.entries]
      .map(({ record }) => record);
    const initial = findInitial(records, Date.now());
    const others = records.filter((record) => !initial.includes(record));
    for (const record of initial) this.#observe(record, true);
    for (const record of others) this.#observe(record, false);
  }

  /**
   * Learns the version of a backend server.
   *
   * @param record The backend server.
   */
  handleRecord(record: BackendRecord): void {
    if (this.#hasListed) this.#observe(record, false);
  }

  /**
   * Learns the era of the store, before anything that it has in this era.
   *
   * @param era The era.
   * @param isRestored Whether the store was restored from a copy.
   */
  enterEra(era: number, isRestored: boolean): void {
    this.#era = era;
    const periodMs = rewritePeriodMs(this.#options.directory.size);
    for (const { coordinator, gate } of this.#services.values()) {
      const restore = {
        nowMs: performance.now(),
        delayMs: this.#options.random.fraction() * periodMs,
        periodMs,
        followed: gate.record,
      };
      coordinator.startEra(era, isRestored ? restore : undefined);
    }
  }

  /**
   * Applies an entry of the store, if it is about versions.
   *
   * @param key Its key.
   * @param entry The entry; `undefined` if it was deleted.
   * @param mayBeOutdated Whether it may come from the copy of a store that was
   * restored.
   */
  handleEntry(
    key: string,
    entry: StoreEntry | undefined,
    mayBeOutdated: boolean,
  ): void {
    const { wire } = this.#options;
    if (key.startsWith(wire.orderPrefix)) {
      this.#applyOrder(key, entry, mayBeOutdated);
    } else if (key.startsWith(ROLLOUT_PREFIX) && entry !== undefined) {
      this.#applyRecord(key, entry);
    }
  }

  /**
   * Answers the report of another daemon.
   *
   * @param bytes The encoded report.
   * @returns The encoded decision; `undefined` if this daemon does not decide.
   */
  handleReport(bytes: Buffer): Buffer | undefined {
    const report = decodeRolloutReport(bytes);
    if (report === undefined) {
      this.#options.log.warn("rollout-unreadable", { source: "report" });
      return undefined;
    }
    const decision = this.#services.get(report.service)?.coordinator
      .receive(report, performance.now());
    return decision && encodeRollout(decision);
  }

  #observe(record: BackendRecord, isInitial: boolean): void {
    const { gate } = this.#stateOf(record.service);
    const wasRestricted = gate.isRestricted;
    gate.observe(record.version ?? "", isInitial);
    if (gate.isRestricted && !wasRestricted) this.#start();
  }

  #stateOf(service: string): ServiceState {
    let state = this.#services.get(service);
    if (state === undefined) {
      state = {
        service,
        gate: new VersionGate(service),
        coordinator: new RolloutCoordinator(this.#options.instance, service),
        reportAtMs: 0,
        reportedFailures: 0,
        isReporting: false,
      };
      if (this.#era !== undefined) {
        state.coordinator.startEra(this.#era, undefined);
      }
      this.#services.set(service, state);
    }
    return state;
  }

  #applyOrder(
    key: string,
    entry: StoreEntry | undefined,
    mayBeOutdated: boolean,
  ): void {
    const { wire, log } = this.#options;
    const order = entry && wire.decodeOrder(entry.value);
    if (entry !== undefined && order === undefined) {
      log.warn("rollout-unreadable", { source: key });
      return;
    }
    const service = order?.service ?? key.slice(wire.orderPrefix.length);
    if (order === undefined && !this.#services.has(service)) return;
    // The order may be as old as the view before it.
    const ageMs = Math.min(MAX_ORDER_AGE_MS, this.#options.viewAgeMs());
    const isTaken = this.#stateOf(service).coordinator.setOrder(order, {
      nowMs: performance.now(),
      nowUnixMs: Math.round(Date.now() - ageMs),
    }, mayBeOutdated);
    if (!isTaken) {
      log.warn("rollout-order-outdated", {
        service,
        version: order?.targetVersion ?? "",
      });
      return;
    }
    log.info("rollout-ordered", {
      service,
      version: order?.targetVersion ?? "",
      durationMs: order?.durationMs ?? 0,
      revision: entry?.modRevision ?? 0,
      viewAgeMs: Math.round(this.#options.viewAgeMs()),
    });
    this.#start();
  }

  #applyRecord(key: string, entry: StoreEntry): void {
    const record = decodeRolloutRecord(entry.value);
    if (record === undefined || key !== ROLLOUT_PREFIX + record.service) {
      this.#options.log.warn("rollout-unreadable", { source: key });
      return;
    }
    const state = this.#stateOf(record.service);
    const nowMs = performance.now();
    const holds = state.coordinator
      .setRecord(record, entry.modRevision, nowMs);
    if (holds) this.#follow(state, record, () => state.gate.apply(record));
    this.#start();
  }

  /** Logs a decision that this daemon follows from now on. */
  #follow(state: ServiceState, record: RolloutRecord, apply: () => void): void {
    const before = state.gate.record;
    apply();
    const after = state.gate.record;
    if (after === undefined || !isRolloutDecision(before, after)) return;
    this.#options.log.info("rollout-followed", {
      service: record.service,
      version: after.targetVersion,
      phase: after.phase,
      share: after.share,
      sequence: after.sequence,
      decider: after.decider,
      viewAgeMs: Math.round(this.#options.viewAgeMs()),
    });
  }

  /** Runs a timer only once there is an order or a version not in use. */
  #start(): void {
    this.#timer ??= setInterval(() => this.#tick(), DECIDE_EVERY_MS);
  }

  #tick(): void {
    for (const state of this.#services.values()) {
      this.#report(state).catch((error: unknown) =>
        this.#options.log.error("rollout-failed", {
          service: state.service,
          reason: messageOf(error),
        })
      );
      const write = state.coordinator.next(situationOf(state, this.#options));
      if (write !== undefined) void this.#write(state, write);
    }
  }

  async #write(state: ServiceState, write: RolloutWrite): Promise<void> {
    const { store, wire, log, metrics } = this.#options;
    const key = ROLLOUT_PREFIX + state.service;
    const { status, afterRevision } = write;
    const committed = await store.commit({
      conditions: [
        afterRevision === 0
          ? { kind: "absent", key }
          : { kind: "unchanged", key, modRevision: afterRevision },
      ],
      writes: [
        ...(status === undefined ? [] : [
          {
            kind: "put",
            key: wire.statusKeyOf(status.service),
            value: wire.encodeStatus(status),
          } as const,
        ]),
        // Last, as its revision is the one that the store answers with.
        { kind: "put", key, value: encodeRollout(write.record) },
      ],
    });
    const nowMs = performance.now();
    const result = committed.isErr()
      ? "failed"
      : committed.value.succeeded
      ? "written"
      : "conflict";
    metrics.count("rollout_writes_total", { reason: write.reason, result });
    logWrite(log, write, result);
    if (committed.isErr()) {
      return state.coordinator.finishWrite({ kind: "failed" }, nowMs);
    }
    const { succeeded, revision, entries, era } = committed.value;
    if (!succeeded) {
      const found = findRecord(entries, key);
      return state.coordinator.finishWrite(
        { kind: "conflict", found, era },
        nowMs,
      );
    }
    const written = { kind: "written", revision, era } as const;
    state.coordinator.finishWrite(written, nowMs);
    if (write.reason === RolloutReason.Rewritten) {
      metrics.count("records_rewritten_total", { kind: "rollout" });
    }
    this.#follow(state, write.record, () => state.gate.apply(write.record));
  }

  async #report(state: ServiceState): Promise<void> {
    const { instance, directory, openRequests, sendReport, metrics } =
      this.#options;
    const { gate, coordinator } = state;
    const nowMs = performance.now();
    const failures = gate.targetFailures - state.reportedFailures;
    const isDue = nowMs >= state.reportAtMs ||
      failures >= MIN_FAILURES_FOR_REPORT;
    const report = isDue && !state.isReporting
      ? gate.buildReport({
        instance,
        epoch: this.#epoch,
        openRequests: openRequests(),
      })
      : undefined;
    const decider = gate.record?.decider ?? "";
    if (report === undefined) return;
    const usualMs = Math.max(
      gate.reportEveryMs,
      directory.size * REPORT_EVERY_MS_PER_DAEMON,
    );
    state.reportAtMs = nowMs + Math.min(MAX_REPORT_EVERY_MS, usualMs);
    state.reportedFailures = gate.targetFailures;
    if (decider === instance) {
      const answer = coordinator.receive(report, nowMs);
      if (answer === undefined) return;
      return this.#follow(state, answer, () => gate.confirm(answer, nowMs));
    }
    const record = directory.get(decider)?.record;
    if (record === undefined) return;
    state.isReporting = true;
    const bytes = await sendReport(record, encodeRollout(report))
      .finally(() => state.isReporting = false);
    const answer = bytes && decodeRolloutRecord(bytes);
    metrics.count("rollout_reports_total", {
      result: answer === undefined ? "unanswered" : "answered",
    });
    if (answer === undefined || answer.service !== state.service) return;
    this.#follow(state, answer, () => gate.confirm(answer, nowMs));
  }
}
