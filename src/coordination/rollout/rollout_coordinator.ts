import { compareEras, EraOrder } from "../eras/mod.ts";
import {
  isActivePhase,
  type RolloutOrder,
  RolloutPhase,
  type RolloutRecord,
  type RolloutReport,
} from "../../protocol/rollout.ts";
import {
  DecidingRole,
  REPORTED_WITHIN_MS,
  TAKEOVER_MS,
  UNKNOWN_VERSION,
} from "./deciding_role.ts";
import { keepsRecord } from "./keeps_record.ts";
import { OrderMemory } from "./order_memory.ts";
import type { VersionJudgement } from "./judge_version.ts";
import {
  baselineRecord,
  figuresOf,
  orderedRecord,
  takenOverRecord,
} from "./rollout_records.ts";
import { RolloutReason } from "./rollout_types.ts";
import type {
  RolloutRestore,
  RolloutSituation,
  RolloutWrite,
  StoredRollout,
  WriteResult,
} from "./rollout_types.ts";

/** Further time for each daemon that comes before in the order of takeover. */
const RANK_DELAY_MS = 700;
/** Daemons beyond this rank do not differ in their delay. */
const MAX_RANK = 8;
/** Age of a view of the store from which it shows no lapse, in ms. */
const MAX_VIEW_AGE_MS = 2_500;
/** Pause before a write is repeated that has failed, in ms. */
const RETRY_MS = 400;

/**
 * One daemon's part in the decisions about one service. At any time one daemon
 * decides: each write replaces the record that the daemon has seen last.
 *
 * @example
 * ```ts ignore
 * const write = coordinator.next(situation);
 * ```
 */
export class RolloutCoordinator {
  readonly #instance: string;
  readonly #service: string;
  readonly #orders = new OrderMemory();
  /** Era of the store to which the revision belongs. */
  #era: number | undefined;
  /** Set while the store may lack the record, as it was restored. */
  #restore: RolloutRestore | undefined;
  #record: RolloutRecord | undefined;
  #revision = 0;
  #recordSeenAtMs = 0;
  /** Sequences of the records that this process has written or tried to. */
  readonly #ownSequences = new Set<number>();
  readonly #role = new DecidingRole();
  #pending: RolloutWrite | undefined;
  #retryAtMs = -Infinity;
  /** Sequences of writes whose result is not known. */
  readonly #unknownSequences = new Set<number>();

  /**
   * Creates a coordinator that knows no order.
   *
   * @param instance Instance of this daemon.
   * @param service Name of the service.
   */
  constructor(instance: string, service: string) {
    this.#instance = instance;
    this.#service = service;
  }

  /** The record as this daemon last saw or wrote it. */
  get record(): RolloutRecord | undefined {
    return this.#record;
  }

  /** Whether this daemon decides. */
  get isDecider(): boolean {
    return this.#record?.decider === this.#instance &&
      this.#ownSequences.has(this.#record.sequence);
  }

  /**
   * Learns of an order or of its removal.
   *
   * @param order The order, if there is one.
   * @param time Monotonic and Unix time, in ms.
   * @param mayBeOutdated Whether it may come from the copy of a store that was
   * restored.
   * @returns False if it is a former order, which is ignored.
   */
  setOrder(
    order: RolloutOrder | undefined,
    time: Pick<RolloutSituation, "nowMs" | "nowUnixMs">,
    mayBeOutdated = false,
  ): boolean {
    const isTaken = this.#orders.set(order, time, mayBeOutdated);
    if (this.#record !== undefined) this.#orders.noteRecord(this.#record);
    return isTaken;
  }

  /**
   * Enters an era of the store.
   *
   * @param era The era.
   * @param restore What is known, if the store was restored.
   */
  startEra(era: number, restore: RolloutRestore | undefined): void {
    this.#era = era;
    if (restore === undefined) return;
    const { followed, nowMs } = restore;
    this.#revision = 0;
    if ((followed?.sequence ?? 0) > (this.#record?.sequence ?? 0)) {
      this.#adopt(followed!, 0, nowMs);
    }
    // Its owner gets the time to renew it before others take over.
    this.#recordSeenAtMs = nowMs;
    this.#restore = restore;
  }

  /**
   * Learns of the record in the store.
   *
   * @param record The record.
   * @param revision Its store revision.
   * @param nowMs Monotonic time, in ms.
   * @returns False if a record that the store has lost holds in its place.
   */
  setRecord(record: RolloutRecord, revision: number, nowMs: number): boolean {
    if (this.#keeps(record, revision)) return false;
    if (revision > this.#revision) {
      this.#restore = undefined;
      this.#adopt(record, revision, nowMs);
    }
    return true;
  }

  /** Keeps the record that the store has lost, to write it again. */
  #keeps(found: RolloutRecord, revision: number): boolean {
    const known = this.#record;
    if (known === undefined || this.#restore === undefined) return false;
    if (!keepsRecord(known, found)) return false;
    this.#revision = Math.max(this.#revision, revision);
    const sequence = Math.max(known.sequence, found.sequence);
    if (sequence > known.sequence) this.#record = { ...known, sequence };
    return true;
  }

  /**
   * Answers a report of a daemon.
   *
   * @param report The report.
   * @param nowMs Monotonic time, in ms.
   * @returns The decision in force; `undefined` if this daemon does not decide.
   */
  receive(report: RolloutReport, nowMs: number): RolloutRecord | undefined {
    const record = this.#record;
    return record !== undefined && this.isDecider
      ? this.#role.receive(report, record, nowMs)
      : undefined;
  }

  /**
   * Compares the versions by the reports so far.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The judgement.
   */
  judge(nowMs: number): VersionJudgement {
    return this.#role.judge(nowMs);
  }

  /**
   * Returns the next write of this daemon. Its result is to be passed to
   * {@linkcode finishWrite} before the next call has a result.
   *
   * @param situation What the daemon knows.
   * @returns The write; `undefined` if there is nothing to write.
   */
  next(situation: RolloutSituation): RolloutWrite | undefined {
    const { nowMs } = situation;
    this.#role.daemons = situation.daemons;
    if (this.#pending !== undefined || nowMs < this.#retryAtMs) {
      return undefined;
    }
    const write = this.#takeUpOrder(situation) ??
      this.#decide(situation) ?? this.#rewrite(situation) ??
      this.#takeOver(situation) ??
      this.#writeBaseline(situation);
    this.#pending = write;
    if (write !== undefined) this.#ownSequences.add(write.record.sequence);
    return write;
  }

  /**
   * Records the result of a write.
   *
   * @param result The result.
   * @param nowMs Monotonic time, in ms.
   */
  finishWrite(result: WriteResult, nowMs: number): void {
    const write = this.#pending;
    this.#pending = undefined;
    if (write === undefined) return;
    if (result.kind !== "failed") {
      const order = compareEras(result.era, this.#era);
      if (order !== EraOrder.Same) {
        this.#retryAtMs = nowMs + RETRY_MS;
        // It was recorded, so that it holds, but its revision means nothing.
        const isRecorded = result.kind === "written" &&
          write.record.sequence > (this.#record?.sequence ?? 0);
        if (isRecorded) this.#adopt(write.record, this.#revision, nowMs);
        return;
      }
    }
    switch (result.kind) {
      case "written":
        this.#restore = undefined;
        // The view may have shown the write, or a later one, before.
        if (result.revision > this.#revision) {
          this.#adopt(write.record, result.revision, nowMs);
        }
        return;
      case "conflict":
        // The view of the store shows soon who has written; until then, this
        // daemon can write nothing.
        if (!this.#unknownSequences.has(write.record.sequence)) {
          this.#ownSequences.delete(write.record.sequence);
        }
        this.#retryAtMs = nowMs + RETRY_MS;
        this.#adoptFound(result.found, nowMs);
        return;
      case "failed":
        this.#unknownSequences.add(write.record.sequence);
        this.#retryAtMs = nowMs + RETRY_MS;
    }
  }

  /** The store may count revisions in another way than its answers suggest. */
  #adoptFound(found: StoredRollout | undefined, nowMs: number): void {
    if (found === undefined) return;
    if (this.#keeps(found.record, found.revision)) return;
    this.#restore = undefined;
    const knownSequence = this.#record?.sequence ?? 0;
    if (found.record.sequence > knownSequence) {
      this.#adopt(found.record, found.revision, nowMs);
    } else if (found.record.sequence === knownSequence) {
      this.#revision = found.revision;
    }
  }

  #adopt(record: RolloutRecord, revision: number, nowMs: number): void {
    const known = this.#record;
    const wasDecider = this.isDecider;
    this.#orders.noteRecord(record);
    this.#record = record;
    this.#revision = revision;
    this.#recordSeenAtMs = nowMs;
    const { isDecider } = this;
    this.#role.follow(known, record, { wasDecider, isDecider }, nowMs);
  }

  #takeUpOrder(situation: RolloutSituation): RolloutWrite | undefined {
    const order = this.#orders.open;
    const record = this.#record;
    const { nowMs, rank, viewAgeMs } = situation;
    if (order === undefined || order.targetVersion === "") return undefined;
    if (!this.#mayElect(viewAgeMs, nowMs)) return undefined;
    // Without a version in use, there is nothing to compare with.
    if (situation.inUse.length === 0) return undefined;
    const isActive = record !== undefined && isActivePhase(record.phase);
    const place = isActive && this.isDecider ? 0 : rank + (isActive ? 1 : 0);
    const sinceMs = Math.max(this.#orders.seenAtMs, this.#recordSeenAtMs);
    if (nowMs - sinceMs < delayOf(place)) return undefined;
    return this.#write(
      situation,
      RolloutReason.Ordered,
      orderedRecord(order, {
        sequence: (record?.sequence ?? 0) + 1,
        inUse: situation.inUse,
        decider: this.#instance,
        startedAtUnixMs: this.#orders.seenAtUnixMs,
      }),
    );
  }

  #decide(situation: RolloutSituation): RolloutWrite | undefined {
    const record = this.#record;
    if (record === undefined || !this.isDecider) return undefined;
    const decision = this.#role.decide(
      record,
      situation,
      this.#recordSeenAtMs,
    );
    if (decision === undefined) return undefined;
    const { reason, next, judgement } = decision;
    return this.#write(situation, reason, next, judgement);
  }

  /**
   * Writes a record that the store has lost again. One that is still renewed
   * needs no more than the next renewal.
   */
  #rewrite(situation: RolloutSituation): RolloutWrite | undefined {
    const { nowMs, rank, viewAgeMs } = situation;
    const record = this.#record;
    const restore = this.#restore;
    const isLost = record !== undefined && restore !== undefined &&
      !isActivePhase(record.phase);
    if (!isLost || !this.#mayElect(viewAgeMs, nowMs)) return undefined;
    const delayMs = record.decider === this.#instance
      ? restore.delayMs
      : restore.periodMs + TAKEOVER_MS + delayOf(rank);
    if (nowMs < restore.nowMs + delayMs) return undefined;
    const sequence = record.sequence + 1;
    return this.#write(situation, RolloutReason.Rewritten, {
      ...record,
      sequence,
    });
  }

  #takeOver(situation: RolloutSituation): RolloutWrite | undefined {
    const { nowMs, rank, viewAgeMs } = situation;
    const record = this.#record;
    const isLapsed = record !== undefined && isActivePhase(record.phase) &&
      nowMs - this.#recordSeenAtMs >= TAKEOVER_MS + delayOf(rank);
    if (!isLapsed || !this.#mayElect(viewAgeMs, nowMs)) return undefined;
    return this.#write(
      situation,
      RolloutReason.TakenOver,
      takenOverRecord(record, this.#instance),
    );
  }

  /** Records the versions in use for daemons that start from now on. */
  #writeBaseline(situation: RolloutSituation): RolloutWrite | undefined {
    const { nowMs, rank, viewAgeMs, inUse, announced } = situation;
    const isNeeded = this.#record === undefined && inUse.length > 0 &&
      announced.some((version) => !inUse.includes(version));
    const mayWrite = isNeeded && rank === 0 &&
      this.#orders.order === undefined &&
      this.#mayElect(viewAgeMs, nowMs);
    if (!mayWrite) return undefined;
    return this.#write(
      situation,
      RolloutReason.Baseline,
      baselineRecord(this.#service, inUse, this.#instance),
    );
  }

  #mayElect(viewAgeMs: number, nowMs: number): boolean {
    return viewAgeMs < MAX_VIEW_AGE_MS && !this.#role.isResigned(nowMs);
  }

  #write(
    situation: RolloutSituation,
    reason: RolloutReason,
    record: RolloutRecord,
    judgement = UNKNOWN_VERSION,
  ): RolloutWrite {
    const { service, targetVersion, phase } = record;
    const isNews = phase !== RolloutPhase.Idle &&
      (this.#restore !== undefined || this.#record?.phase !== phase ||
        this.#record.targetVersion !== targetVersion);
    return {
      record,
      afterRevision: this.#revision,
      judgement,
      reason,
      figures: figuresOf(
        situation,
        record,
        this.isDecider ? this.#role.observations : undefined,
        REPORTED_WITHIN_MS,
      ),
      ...(isNews ? { status: { service, targetVersion, phase } } : {}),
    };
  }
}

function delayOf(rank: number): number {
  return Math.min(rank, MAX_RANK) * RANK_DELAY_MS;
}
