import type {
  RangeResult,
  StoreTransaction,
  TransactionResult,
} from "../protocol/store.ts";
import type { ResultAsync } from "neverthrow";
import type { ChangeBatch } from "../protocol/feed.ts";
import type { Announcement, MeshConfig } from "../protocol/mesh.ts";
import type { RolloutOrder, RolloutStatus } from "../protocol/rollout.ts";
import type { StepError } from "../protocol/step_error.ts";

/** Result of a long poll of the store. */
export type PollResult =
  | ({ readonly kind: "events" } & ChangeBatch)
  /** The store has compacted the history since the revision. */
  | { readonly kind: "compacted"; readonly era?: number | undefined };

/** A lease. It is relied on only in the era in which it was granted. */
export interface LeaseGrant {
  readonly leaseId: string;
  /** Era of the store; absent if it names none. */
  readonly era?: number | undefined;
}

/** Result of the renewal of a lease. */
export interface LeaseRenewal {
  /** Remaining TTL, in s; 0 if the lease has expired. */
  readonly ttlS: number;
  /** Era of the store; absent if it names none. */
  readonly era?: number | undefined;
}

/** Start and timeout of a long poll. */
export interface PollOptions {
  readonly prefix: string;
  readonly afterRevision: number;
  readonly waitMs: number;
  /** Gives the poll up. */
  readonly signal?: AbortSignal;
}

/** Limits of a listing. */
export interface ListOptions {
  /** Longest time without a byte of the response, in ms. */
  readonly silenceTimeoutMs?: number;
  /** Gives the listing up. */
  readonly signal?: AbortSignal;
}

/** The key-value store for the durable and shared state of the fleet. */
export interface MeshStore {
  list(
    prefix: string,
    options?: ListOptions,
  ): ResultAsync<RangeResult, StepError>;
  poll(options: PollOptions): ResultAsync<PollResult, StepError>;
  /** Finds out at the lowest price whether the store answers at all. */
  probe(signal: AbortSignal): ResultAsync<void, StepError>;
  commit(
    transaction: StoreTransaction,
  ): ResultAsync<TransactionResult, StepError>;
  grantLease(ttlS: number): ResultAsync<LeaseGrant, StepError>;
  renewLease(leaseId: string): ResultAsync<LeaseRenewal, StepError>;
}

/** Location and decoder of the accepted configuration. */
export interface MeshConfigSource {
  /** Key of the newest accepted configuration. */
  readonly key: string;
  /** Prefix that covers the configuration and the fleet's own keys. */
  readonly watchPrefix: string;
  /** Decodes a configuration; throws an error that names the invalid part. */
  decode(bytes: Uint8Array): MeshConfig;
}

/** The headers that callers and backend servers use, with lower-case names. */
export interface EdgeHeaders {
  readonly requestId: string;
  readonly timeoutMs: string;
  readonly callerService: string;
  readonly expectedBackend: string;
  /** Carries the key of the caller's organisation. */
  readonly organisationKey: string;
  /** Names the caller's organisation to the backend server. */
  readonly organisation: string;
  /** Present only in responses that the backend server itself generated. */
  readonly answerProof: string;
  /** Marks a response to a request that the backend server did not run. */
  readonly notRun: string;
  readonly backendId: string;
  readonly load: LoadHeader;
  /**
   * Names the requests per second that the backend server takes, in all of its
   * responses for as long as the limit holds.
   */
  readonly limitPerS: string;
  /** "1" in all responses of a backend server that leaves. */
  readonly leaving: string;
}

/** Header in which a backend server reports its load. */
export interface LoadHeader {
  /** In lower case. */
  readonly name: string;
  /**
   * Decodes how long work takes at this moment, relative to usual; `undefined`
   * if the value does not say.
   */
  readonly decodePace: (value: string) => number | undefined;
}

/** A call of the backend server or the instance to a control port. */
export type ControlCall =
  | { readonly kind: "announce"; readonly announcement: Announcement }
  | {
    readonly kind: "leave";
    readonly id: string;
    readonly bornAtUnixMs: number;
  }
  | { readonly kind: "ready" }
  | { readonly kind: "unreadable"; readonly reason: string };

/** Decodes calls to the control ports. */
export interface ControlDecoder {
  decode(method: string, target: string, body: string): ControlCall;
}

/** Location and format of the operator's orders to move a service. */
export interface RolloutWire {
  /** Prefix of the keys of orders, which end with the name of the service. */
  readonly orderPrefix: string;
  /** Returns the order; `undefined` if it cannot be read. */
  decodeOrder(bytes: Uint8Array): RolloutOrder | undefined;
  /** Returns the key under which the operator is told about a service. */
  statusKeyOf(service: string): string;
  encodeStatus(status: RolloutStatus): Uint8Array;
}

/** The adapters that a deployment provides. */
export interface SidecarPorts {
  readonly store: MeshStore;
  readonly config: MeshConfigSource;
  readonly headers: EdgeHeaders;
  readonly control: ControlDecoder;
  /** Absent if services are not moved by orders. */
  readonly rollouts?: RolloutWire;
}
