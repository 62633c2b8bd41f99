import { Random } from "../src/protocol/random.ts";
import {
  call,
  type CallResponse,
  createIdempotencyKey,
} from "../testkit/caller.ts";
import { openLoop } from "../testkit/open_loop.ts";
import type { Stage } from "./stage.ts";

/** Kinds of work of the Association. */
export type Kind = "lookup" | "order" | "proof";

/** What the callers saw of one kind of work. */
export interface KindRecord {
  readonly answers: CallResponse[];
  /** Idempotency keys of orders that were answered. */
  readonly keys: string[];
}

/** Calls a second of each kind. */
const RATES: Readonly<Record<Kind, number>> = {
  lookup: 120,
  order: 10,
  proof: 1,
};
/** Size of an artwork proof, in bytes. */
const PROOF_BYTES = 2 * 1024 * 1024;

/** Callers that work all the time, through all daemons. */
export class Load {
  readonly records: Readonly<Record<Kind, KindRecord>> = {
    lookup: { answers: [], keys: [] },
    order: { answers: [], keys: [] },
    proof: { answers: [], keys: [] },
  };
  readonly #stage: Stage;
  readonly #random = new Random(1);

  /** Creates callers for the daemons of a stage. */
  constructor(stage: Stage) {
    this.#stage = stage;
  }

  /** Works for a time. */
  async run(durationMs: number): Promise<void> {
    const kinds: Kind[] = ["lookup", "order", "proof"];
    await Promise.all(kinds.map((kind) =>
      openLoop(
        { ratePerSecond: RATES[kind], durationMs },
        () => this.#send(kind),
      )
    ));
  }

  async #send(kind: Kind): Promise<void> {
    const key = createIdempotencyKey();
    let answer = await this.#attempt(kind, key);
    // As callers do: what did not run, or broke off, is sent again elsewhere.
    for (let attempt = 1; attempt < 4 && answer.status !== 200; attempt++) {
      answer = await this.#attempt(kind, key);
    }
    this.records[kind].answers.push(answer);
    if (kind === "order") this.records.order.keys.push(key);
  }

  #attempt(kind: Kind, key: string): Promise<CallResponse> {
    const daemons = this.#stage.instances.map((one) => one.daemon)
      .filter((daemon) => !daemon.child.hasExited);
    const { ingress } = this.#random.pick(daemons)!;
    switch (kind) {
      case "lookup":
        return call(ingress, `/stock/${this.#random.below(1_000)}`, {
          token: "vendors-token",
        });
      case "order":
        return call(ingress, "/orders/sleeves", {
          method: "POST",
          token: "stalls-token",
          body: `pallets for ${key}`,
          headers: { "idempotency-key": key },
        });
      case "proof":
        return call(ingress, "/proofs/echo", {
          method: "POST",
          token: "printers-token",
          body: "p".repeat(PROOF_BYTES),
        });
    }
  }
}

/** Returns whether a proof came back whole. */
export function isWholeProof(answer: CallResponse): boolean {
  return answer.body.length === PROOF_BYTES;
}
