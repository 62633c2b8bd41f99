import Emittery from "emittery";
import type { Quarantine } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import type { MemberChange } from "../state/member_table.ts";

/** Events between the tasks of a daemon. */
export interface FleetEvents {
  /** The record of a member changed. */
  memberChanged: MemberChange;
  /** A configuration version was put in force. */
  configAdopted: { readonly version: number };
  /** A peer holds a newer configuration version. */
  newerVersionSeen: {
    readonly version: number;
    readonly digest: string;
    readonly address: string;
  };
  /** The state of the backend server changed. */
  backendChanged: BackendStatus;
  /** The slots that this daemon holds changed. */
  slotsChanged: { readonly held: readonly HeldSlot[] };
  /** The holder of a slot is unreachable and may have lost the slot. */
  slotHolderUnreachable: { readonly name: string };
  /** Addresses of other daemons were read from the store. */
  contactsDiscovered: { readonly addresses: readonly string[] };
  /** Requests were suspected of causing a crash, here or by a peer. */
  quarantinesChanged: {
    readonly quarantines: readonly Quarantine[];
    /** Whether this daemon detected the change itself. */
    readonly isLocal: boolean;
  };
}

/** A slot that this daemon holds. */
export interface HeldSlot {
  readonly name: string;
  /** Store revision at which it was taken. */
  readonly epoch: number;
}

/** State of the backend server as seen by its daemon. */
export interface BackendStatus {
  readonly service: string;
  readonly isReady: boolean;
  readonly slots: number;
  /** Unix time at which it last became ready. */
  readonly readyAtMs: number;
}

/** Event bus between the tasks of a daemon. */
export type FleetBus = Emittery<FleetEvents>;

/**
 * Creates an event bus.
 *
 * @returns The bus.
 *
 * @example
 * ```ts
 * const bus = createFleetBus();
 * bus.on("configAdopted", ({ version }) => version);
 * ```
 */
export function createFleetBus(): FleetBus {
  return new Emittery<FleetEvents>();
}
