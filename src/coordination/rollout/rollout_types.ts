import type { RolloutRecord, RolloutStatus } from "../../protocol/rollout.ts";
import type { VersionJudgement } from "./judge_version.ts";

/** What a daemon knows about the fleet when it decides. */
export interface RolloutSituation {
  readonly nowMs: number;
  readonly nowUnixMs: number;
  /** Age of the view of the store, in ms. */
  readonly viewAgeMs: number;
  /** Number of daemons that come before this one, 0 for the first. */
  readonly rank: number;
  /** Number of daemons in the fleet. */
  readonly daemons: number;
  /** Versions of the service that are in use. */
  readonly inUse: readonly string[];
  /** Versions of the service that are announced. */
  readonly announced: readonly string[];
  /** Instances that have backend servers of other versions than the target. */
  readonly formerInstances: readonly string[];
  /** Whether backend servers of the target version accept requests. */
  readonly hasTarget: boolean;
}

/** A write that holds only if the record has not changed. */
export interface RolloutWrite {
  readonly record: RolloutRecord;
  /** Store revision of the replaced record; 0 if there is none. */
  readonly afterRevision: number;
  /** Present if the operator is to be told. */
  readonly status?: RolloutStatus;
  /** Why the record changes. */
  readonly judgement: VersionJudgement;
  readonly reason: RolloutReason;
  /** Further figures behind the decision, for the log. */
  readonly figures: RolloutFigures;
}

/** Figures behind a decision. */
export interface RolloutFigures {
  /** Time since the order, in ms. */
  readonly elapsedMs: number;
  readonly viewAgeMs: number;
  /** Daemons that have reported lately, and all. */
  readonly reporters: number;
  readonly daemons: number;
  readonly requests: number;
  readonly targetRequests: number;
}

/** Why a record is written. */
export enum RolloutReason {
  /** A version that is not in use was announced, and there is no order yet. */
  Baseline = "baseline",
  Ordered = "ordered",
  TakenOver = "taken-over",
  Decided = "decided",
  Renewed = "renewed",
  /** The store was restored from a copy that lacks the record. */
  Rewritten = "rewritten",
}

/** A record in the store. */
export interface StoredRollout {
  readonly record: RolloutRecord;
  readonly revision: number;
}

/** What is known as the store was restored from a copy. */
export interface RolloutRestore {
  readonly nowMs: number;
  /** Time after which this daemon writes its own records again, in ms. */
  readonly delayMs: number;
  /** Period within which all daemons do so, in ms. */
  readonly periodMs: number;
  /** The newest record that requests follow, if any. */
  readonly followed: RolloutRecord | undefined;
}

/** Result of a write. */
export type WriteResult =
  | {
    readonly kind: "written";
    readonly revision: number;
    /** Era of the store; absent if it names none. */
    readonly era?: number | undefined;
  }
  /** The record was not the expected one. */
  | {
    readonly kind: "conflict";
    /** The record that the store has instead, if it told. */
    readonly found?: StoredRollout | undefined;
    readonly era?: number | undefined;
  }
  | { readonly kind: "failed" };
