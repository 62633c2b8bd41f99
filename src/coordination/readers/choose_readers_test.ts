import { test } from "uvu";
import * as assert from "uvu/assert";
import { type BackendRecord, BackendState } from "../../protocol/mesh.ts";
import { chooseFollowed, chooseReaders } from "./choose_readers.ts";

function record(fields: Partial<BackendRecord>): BackendRecord {
  return {
    id: "i-1",
    instance: "a-1",
    service: "stock",
    domain: "a",
    peerAddress: "127.0.0.1:1",
    slots: 12,
    state: BackendState.Ready,
    bornAtUnixMs: 1,
    linkMbps: 7,
    ...fields,
  };
}

function membersOf(size: number): BackendRecord[] {
  return Array.from(
    { length: size },
    (_, index) => record({ instance: `a-${index + 1}` }),
  );
}

const namesOf = (records: readonly BackendRecord[]) =>
  records.map(({ instance }) => instance);

test("chooseReaders() prefers fast links, regardless of the order of records", () => {
  const members = [
    ...membersOf(8),
    record({ instance: "a-9", linkMbps: 140 }),
    record({ instance: "b-1", domain: "b", linkMbps: 1_000 }),
  ];
  const chosen = [members, [...members].reverse()].map((records) =>
    namesOf(chooseReaders(records, "a"))
  );
  assert.equal(chosen, [["a-9", "a-1"], ["a-9", "a-1"]]);
});

test("chooseReaders() leaves out a daemon whose backend server drains", () => {
  const [first, ...others] = membersOf(9);
  const draining = { ...first!, state: BackendState.Draining };
  assert.equal(namesOf(chooseReaders([draining, ...others], "a")), [
    "a-2",
    "a-3",
  ]);
});

test("chooseReaders() returns none in a small failure domain", () => {
  assert.equal(chooseReaders(membersOf(7), "a"), []);
});

// Guards against daemons on slow links that transfer each version in full.
test("chooseFollowed() has daemons of a small domain follow those with far faster links", () => {
  const members = [
    record({ instance: "a-1", linkMbps: 7 }),
    record({ instance: "a-2", linkMbps: 1_000 }),
    record({ instance: "a-3", linkMbps: 20 }),
    record({ instance: "a-4", linkMbps: 600 }),
    record({ instance: "a-5", linkMbps: 900 }),
  ];
  const followed = members.map(({ instance }) =>
    namesOf(chooseFollowed(members, instance, "a"))
  );
  const both = ["a-2", "a-5"];
  assert.equal(followed, [both, [], both, [], []]);
});

test("chooseFollowed() has all but the readers of a large domain follow them", () => {
  const members = membersOf(9);
  const followed = ["a-1", "a-5"].map((instance) =>
    namesOf(chooseFollowed(members, instance, "a"))
  );
  assert.equal(followed, [[], ["a-1", "a-2"]]);
});

test.run();
