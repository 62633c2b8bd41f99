import type { Buffer } from "node:buffer";
import type { WindowedRetryBudget } from "../coordination/retry/windowed_retry_budget.ts";
import type { MeshRoute } from "../protocol/mesh.ts";
import type { MeshAnswer } from "../protocol/mesh_call.ts";
import type { Random } from "../protocol/random.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { Fleet } from "./fleet.ts";

/** A caller's request, read whole. */
export interface FlowRequest {
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
export type FlowResult =
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
export interface FlowContext {
  readonly fleet: Fleet;
  readonly directory: BackendDirectory;
  readonly random: Random;
  readonly domain: string;
  readonly callerService: string;
  readonly budgetOf: (service: string) => WindowedRetryBudget;
}
