import type { Buffer } from "node:buffer";
import type { ResponseSizes } from "../coordination/dispatch/mod.ts";
import type { WindowedRetryBudget } from "../coordination/retry/windowed_retry_budget.ts";
import type { MeshRoute } from "../protocol/mesh.ts";
import type { MeshAnswer } from "../protocol/mesh_call.ts";
import type { Random } from "../protocol/random.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { VersionFilter } from "./version_filter.ts";
import type { DestinationPool } from "./destination_pool.ts";

/** A caller's request with its whole body. */
export interface ForwardRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly route: MeshRoute;
  readonly service: string;
  readonly deadlineMs: number;
  readonly objectiveAtMs: number;
  /** Organisation of the caller, if it has one. */
  readonly organisation?: string;
  /** Rank of the organisation; 0 is the most urgent. */
  readonly organisationPriority?: number;
  /** Whether a running request probably waits for it. */
  readonly isSubcall?: boolean;
}

/** The result of forwarding a request, for its caller. */
export type ForwardResult =
  | { readonly kind: "answered"; readonly answer: MeshAnswer }
  /** No backend server has run the request or will run it. */
  | {
    readonly kind: "refused";
    readonly reason: string;
    readonly retryAfterMs: number;
  }
  /** A backend server may have run the request. */
  | { readonly kind: "failed"; readonly reason: string }
  /** The deadline passed; a backend server may have run the request. */
  | { readonly kind: "timed-out" };

/** What forwarding a request needs. */
export interface ForwardContext {
  readonly destinations: DestinationPool;
  readonly directory: BackendDirectory;
  readonly quarantine: RequestQuarantine;
  readonly random: Random;
  readonly responseSizes: ResponseSizes;
  readonly domain: string;
  readonly callerService: string;
  /** Whether the work of the service's requests or servers is uneven. */
  readonly choosesByValue: (service: string) => boolean;
  readonly budgetOf: (service: string) => WindowedRetryBudget;
  /** Absent if services are not moved between versions. */
  readonly versions?: Pick<
    VersionFilter,
    "filter" | "recordSend" | "recordOutcome"
  >;
}
