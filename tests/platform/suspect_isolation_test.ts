import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeBackend } from "../../platform/fakes/backend.ts";
import { RequestKind } from "../../src/protocol/mesh.ts";
import {
  type CallOutcome,
  type MeshCall,
  MeshReason,
} from "../../src/protocol/mesh_call.ts";
import {
  BACKEND_ID,
  createCall,
  createDispatcher,
  createQuarantine,
} from "./local_dispatcher.ts";

const WORK_MS = 60;
const SLOTS = 4;

function callFor(path: string): MeshCall {
  const options = { kind: RequestKind.Idempotent, timeoutMs: 1_000 };
  return { ...createCall(path, options), path };
}

function describe(outcome: CallOutcome): string {
  return outcome.kind === "answered"
    ? outcome.kind
    : `${outcome.kind} ${outcome.reason}`;
}

async function setUp(slots = SLOTS) {
  const server = await FakeBackend.start(BACKEND_ID);
  server.workMs = WORK_MS;
  const quarantine = createQuarantine();
  const dispatcher = createDispatcher(server.address, quarantine, slots);
  const suspect = (path: string, ends: readonly string[]) =>
    quarantine.merge(
      callFor(path),
      ends.map((id) => ({ id, isLone: true, remainingMs: 60_000 })),
      "instance-1",
    );
  const execute = (path: string) =>
    dispatcher.execute(callFor(path), new AbortController().signal)
      .then(describe);
  return { server, suspect, execute };
}

// Guards against an end with two suspects, which tells nothing about either.
test("execute() runs no suspect beside another one, and others beside both", async () => {
  const { server, suspect, execute } = await setUp();
  suspect("/a", ["1"]);
  suspect("/b", ["1"]);
  const together = await Promise.all(["/a", "/b", "/a", "/c"].map(execute));
  // The first one has been served, so that it is no suspect.
  const afterwards = await Promise.all(["/a", "/b", "/a"].map(execute));
  const isolated = `not-run ${MeshReason.Isolated}`;
  assert.equal({ together, afterwards }, {
    together: ["answered", isolated, isolated, "answered"],
    afterwards: ["answered", "answered", "answered"],
  });
  await server.stop();
});

// Guards against running what was queued when the verdict came.
test("execute() runs no request whose quarantine begins while it waits", async () => {
  const { server, suspect, execute } = await setUp(1);
  const outcomes = Promise.all(["/c", "/a"].map(execute));
  suspect("/a", ["1", "2", "3"]);
  assert.equal(await outcomes, [
    "answered",
    `not-run ${MeshReason.Quarantined}`,
  ]);
  assert.equal(server.runs.map(({ path }) => path), ["/c"]);
  await server.stop();
});

test.run();
