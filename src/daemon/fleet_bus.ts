import Emittery from "emittery";
import type { Quarantine } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import type { MemberChange } from "../state/member_table.ts";

/** Messages between the tasks of a daemon. */
export interface FleetEvents {
  /** What is known of a member changed. */
  memberChanged: MemberChange;
  /** A configuration version came into force. */
  configAdopted: { readonly version: number };
  /** A peer holds a later configuration version. */
  newerVersionSeen: {
    readonly version: number;
    readonly digest: string;
    readonly address: string;
  };
  /** The backend server's state or size changed. */
  backendChanged: BackendStatus;
  /** The slots that this daemon holds changed. */
  slotsChanged: { readonly held: readonly HeldSlot[] };
  /** The holder of a slot is out of reach and may have lost it. */
  slotHolderUnreachable: { readonly name: string };
  /** The store named contacts. */
  contactsDiscovered: { readonly addresses: readonly string[] };
  /** Requests came under suspicion here or were reported so by a peer. */
  quarantinesChanged: {
    readonly quarantines: readonly Quarantine[];
    /** Whether this daemon found out itself. */
    readonly isLocal: boolean;
  };
}

/** A slot that this daemon holds. */
export interface HeldSlot {
  readonly name: string;
  /** Store revision at which it was taken. */
  readonly epoch: number;
}

/** The backend server as its daemon sees it. */
export interface BackendStatus {
  readonly service: string;
  readonly isReady: boolean;
  readonly slots: number;
  /** Unix time at which it last became ready. */
  readonly readyAtMs: number;
}

/** The bus that the tasks of a daemon talk by. */
export type FleetBus = Emittery<FleetEvents>;

/**
 * Creates a bus.
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
