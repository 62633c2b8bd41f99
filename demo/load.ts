import { Random } from "../src/protocol/random.ts";
import {
  call,
  type CallResponse,
  createIdempotencyKey,
} from "../testkit/caller.ts";
import { openLoop } from "../testkit/open_loop.ts";
import type { DemoFleet } from "./demo_fleet.ts";

/** Kinds of requests of the Association. */
export type Kind = "lookup" | "order" | "proof";

/** Results that the callers recorded for one kind of request. */
export interface KindRecord {
  /** Response to the last attempt of each request. */
  readonly answers: CallResponse[];
  /** Idempotency keys of the orders. */
  readonly keys: string[];
}

/** Requests per second of each kind. */
const RATES: Readonly<Record<Kind, number>> = {
  lookup: 120,
  order: 10,
  proof: 1,
};
/** Size of an artwork proof, in bytes. */
const PROOF_BYTES = 2 * 1024 * 1024;

/** Callers that send requests at constant rates through all daemons. */
export class Load {
  readonly records: Readonly<Record<Kind, KindRecord>> = {
    lookup: { answers: [], keys: [] },
    order: { answers: [], keys: [] },
    proof: { answers: [], keys: [] },
  };
  readonly #fleet: DemoFleet;
  readonly #random = new Random(1);

  /** Creates callers for the daemons of a fleet. */
  constructor(fleet: DemoFleet) {
    this.#fleet = fleet;
  }

  /** Sends requests for a time in ms and waits for the responses. */
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
    let response = await this.#attempt(kind, key);
    // Real callers also retry through another daemon after a failure.
    for (let attempt = 1; attempt < 4 && response.status !== 200; attempt++) {
      response = await this.#attempt(kind, key);
    }
    this.records[kind].answers.push(response);
    if (kind === "order") this.records.order.keys.push(key);
  }

  #attempt(kind: Kind, key: string): Promise<CallResponse> {
    const daemons = this.#fleet.instances.map((instance) => instance.daemon)
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

/** Returns whether the response to a proof request has the whole body. */
export function isWholeProof(response: CallResponse): boolean {
  return response.body.length === PROOF_BYTES;
}
