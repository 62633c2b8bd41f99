import type { Buffer } from "node:buffer";
import type { WindowBudget } from "../coordination/retry/window_budget.ts";
import type { MeshRoute } from "../protocol/mesh.ts";
import type { MeshAnswer } from "../protocol/mesh_call.ts";
import type { Random } from "../protocol/random.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { DestinationPool } from "./destination_pool.ts";

/** A caller's request, read whole. */
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
}

/** What the caller gets. */
export type ForwardResult =
  | { readonly kind: "answered"; readonly answer: MeshAnswer }
  /** It has not run and never will. */
  | {
    readonly kind: "refused";
    readonly reason: string;
    readonly retryAfterMs: number;
  }
  /** It may have run. */
  | { readonly kind: "failed"; readonly reason: string }
  /** The time ran out, and it may have run. */
  | { readonly kind: "timed-out" };

/** What a flow works with. */
export interface ForwardContext {
  readonly destinations: DestinationPool;
  readonly directory: BackendDirectory;
  readonly random: Random;
  readonly domain: string;
  readonly callerService: string;
  readonly budgetOf: (service: string) => WindowBudget;
}
