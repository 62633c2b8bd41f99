import { Buffer } from "node:buffer";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { MeshConfig } from "../../protocol/mesh.ts";
import { RouteTableHolder } from "../../state/route_table_holder.ts";
import { ResponseUse, StorePosition } from "./store_position.ts";

const CONFIG = "config";
const KEYS = [CONFIG, "a", "b"];
const RUNS = 500;

/** A write, and the state of the store after it. */
interface Moment {
  readonly revision: number;
  readonly key: string;
  readonly value: number;
  readonly state: ReadonlyMap<string, number>;
}

/** Moments of a store by era; each era goes on from a copy of the one before. */
function buildEras(
  plans: readonly { readonly lost: number; readonly writes: number }[],
): Moment[][] {
  const eras: Moment[][] = [];
  let value = 0;
  for (const { lost, writes } of plans) {
    const former = eras.at(-1) ?? [];
    const moments = former.slice(0, Math.max(1, former.length - lost));
    for (let count = 0; count < writes; count++) {
      const last = moments.at(-1);
      const key = KEYS[value % KEYS.length]!;
      value++;
      moments.push({
        revision: (last?.revision ?? 0) + 1,
        key,
        value,
        state: new Map([...last?.state ?? [], [key, value]]),
      });
    }
    eras.push(moments);
  }
  return eras;
}

function configOf(version: number): MeshConfig {
  return {
    version,
    routes: [],
    services: [],
    gaps: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

/** Applies responses as a daemon does. */
class Client {
  readonly position = new StorePosition();
  readonly routes = new RouteTableHolder();
  revision: number | undefined;
  state = new Map<string, number>();

  receive(era: number, moments: readonly Moment[], isComplete: boolean): void {
    const { revision, state } = moments.at(-1)!;
    // One response after another is applied within an era.
    const isOld = era === this.position.era && revision < (this.revision ?? 0);
    if (isOld || !isComplete && this.revision === undefined) return;
    switch (this.position.use({ era, revision, isComplete })) {
      case ResponseUse.Drop:
      case ResponseUse.List:
        return;
      case ResponseUse.Apply:
      case ResponseUse.Replace:
        if (isComplete) this.state = new Map(state);
        else this.#applyChanges(moments);
        this.revision = revision;
        this.#adopt();
    }
  }

  #applyChanges(moments: readonly Moment[]): void {
    for (const { revision, key, value } of moments) {
      if (revision > this.revision!) this.state.set(key, value);
    }
  }

  #adopt(): void {
    const version = this.state.get(CONFIG);
    if (version === undefined) return;
    this.routes.adopt(configOf(version), Buffer.from(String(version)));
  }
}

// Pattern: responses of several eras arrive in any order after restores. Guards
// against a state that is put together from eras, and against a configuration
// that goes back with the copy.
test("StorePosition.use() never mixes eras, and the version never decreases", () => {
  const plans = fc.array(
    fc.record({
      lost: fc.integer({ min: 0, max: 8 }),
      writes: fc.integer({ min: 1, max: 8 }),
    }),
    { minLength: 1, maxLength: 5 },
  );
  const deliveries = fc.array(
    fc.record({
      era: fc.nat(4),
      moment: fc.nat(20),
      isComplete: fc.boolean(),
    }),
    { maxLength: 40 },
  );
  fc.assert(
    fc.property(plans, deliveries, (plan, delivered) => {
      const eras = buildEras(plan);
      const client = new Client();
      for (const { era: eraIndex, moment, isComplete } of delivered) {
        const era = eraIndex % eras.length;
        const moments = eras[era]!.slice(0, 1 + moment % eras[era]!.length);
        const before = {
          era: client.position.era ?? -1,
          version: client.routes.version,
        };
        client.receive(era, moments, isComplete);
        assert.ok((client.position.era ?? -1) >= before.era);
        assert.ok(client.routes.version >= before.version);
        if (client.revision === undefined) continue;
        const expected = eras[client.position.era!]!
          .find(({ revision }) => revision === client.revision)!;
        assert.equal(
          [...client.state].sort(),
          [...expected.state].sort(),
        );
      }
    }),
    { numRuns: RUNS },
  );
});

test("StorePosition.use() applies all responses of a store without eras", () => {
  const position = new StorePosition();
  const uses = [
    position.use({ revision: 9, isComplete: true }),
    position.use({ revision: 4, isComplete: false }),
    position.use({ revision: 3, isComplete: true }),
  ];
  const { Apply } = ResponseUse;
  assert.equal([uses, position.mayBeOutdated(1)], [
    [Apply, Apply, Apply],
    false,
  ]);
});

test("StorePosition.mayBeOutdated() tells what the copy may have had", () => {
  const position = new StorePosition();
  position.use({ era: 1, revision: 9, isComplete: true });
  const before = position.mayBeOutdated(1);
  position.use({ era: 2, revision: 4, isComplete: true });
  assert.equal(
    [before, position.mayBeOutdated(4), position.mayBeOutdated(5)],
    [false, true, false],
  );
});

test.run();
