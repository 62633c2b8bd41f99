import type {
  RangeResult,
  StoreTransaction,
  TransactionResult,
} from "../protocol/store.ts";
import type { ResultAsync } from "neverthrow";
import type { ChangeBatch } from "../protocol/feed.ts";
import type { Announcement, MeshConfig } from "../protocol/mesh.ts";
import type { StepError } from "../protocol/step_error.ts";

/** What a long poll of the store returned. */
export type PollResult =
  | ({ readonly kind: "events" } & ChangeBatch)
  /** The history since the revision is no longer there. */
  | { readonly kind: "compacted" };

/** Where a long poll starts, and how long it waits. */
export interface PollOptions {
  readonly prefix: string;
  readonly afterRevision: number;
  readonly waitMs: number;
}

/** The store in which the fleet keeps what must last or be agreed. */
export interface MeshStore {
  list(prefix: string): ResultAsync<RangeResult, StepError>;
  poll(options: PollOptions): ResultAsync<PollResult, StepError>;
  commit(
    transaction: StoreTransaction,
  ): ResultAsync<TransactionResult, StepError>;
  grantLease(ttlS: number): ResultAsync<string, StepError>;
  /** Renews a lease; the result is its remaining life in s, 0 once lapsed. */
  renewLease(leaseId: string): ResultAsync<number, StepError>;
}

/** Where the accepted configuration comes from. */
export interface ConfigFeed {
  /** Key of the newest accepted configuration. */
  readonly key: string;
  /** Prefix that covers the configuration and the fleet's own keys. */
  readonly watchPrefix: string;
  /** Decodes a configuration; the error says what cannot be read. */
  decode(bytes: Uint8Array): MeshConfig;
}

/** Lower-case names of the headers that callers and backend servers use. */
export interface EdgeHeaders {
  readonly requestId: string;
  readonly timeoutMs: string;
  readonly callerService: string;
  readonly expectedBackend: string;
  /** Proof that an answer is the backend server's own. */
  readonly answerProof: string;
  /** Says that the backend server did not run the request. */
  readonly notRun: string;
  readonly backendId: string;
}

/** A call of the backend server or the instance to the daemon's own ports. */
export type ControlCall =
  | { readonly kind: "announce"; readonly announcement: Announcement }
  | {
    readonly kind: "leave";
    readonly id: string;
    readonly bornAtUnixMs: number;
  }
  | { readonly kind: "ready" }
  | { readonly kind: "unreadable"; readonly reason: string };

/** Decodes calls to the daemon's own ports. */
export interface ControlDialect {
  decode(method: string, target: string, body: string): ControlCall;
}

/** Everything that a deployment's adapter provides. */
export interface SidecarPorts {
  readonly store: MeshStore;
  readonly config: ConfigFeed;
  readonly headers: EdgeHeaders;
  readonly control: ControlDialect;
}
