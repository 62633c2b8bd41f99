import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { CONFIG_KEY, sampleConfig } from "../../platform/fakes/mesh.ts";
import type { SoakInstance } from "../../soak/instance.ts";
import { until } from "../../testkit/until.ts";
import { isServed, openConnection, testDaemons } from "./daemon_processes.ts";
import {
  InputPort,
  listOddInputs,
  ODD_INPUT,
  ODD_VALUES,
  type OddInput,
} from "./odd_input.ts";

/** Generated inputs, and the seed that they are drawn with. */
const RUNS = Number(process.env.ODD_INPUT_RUNS ?? 1_500);
const SEED = Number(process.env.ODD_INPUT_SEED ?? 40);
/** Inputs that are sent at the same time. */
const CONCURRENCY = 20;
/** Time after which a connection without an answer is closed, in ms. */
const ANSWER_MS = 150;
/** Time for which each kind of wrong answer of the store holds, in ms. */
const WRONG_STORE_MS = 250;
const STORE_PATHS = ["/api/kv-range", "/api/kv-watch", "/api/kv-txn"];
/** Bodies of store answers, besides odd values, that lack what is read. */
const STORE_BODIES = [
  "",
  "{",
  '{"items":null,"At":1}',
  '{"items":[null],"At":1}',
  '{"items":[{"Key":1,"Rev":1}],"At":1}',
  '{"items":[{"Key":"op/config","Value":7,"Rev":1}],"At":1}',
  '{"items":[{"Key":"a","Rev":1}],"HasMore":true,"At":1}',
  '{"items":[],"events":[]}',
  '{"items":[],"events":[{}],"At":1}',
  '{"items":[],"events":[{"Key":"a","Rev":{}}],"At":1}',
  '{"events":[],"items":[],"At":"x"}',
];

function portOf(daemon: SoakInstance, port: InputPort): number {
  switch (port) {
    case InputPort.Control:
      return daemon.controlPort;
    case InputPort.Ready:
      return daemon.readyPort;
    case InputPort.Peers:
      return daemon.peerPort;
    case InputPort.Ingress:
      return daemon.ingressPort;
  }
}

async function send(daemon: SoakInstance, input: OddInput): Promise<void> {
  const socket = await openConnection(portOf(daemon, input.port));
  if (socket.destroyed) return;
  socket.resume();
  socket.write(input.bytes);
  await new Promise<void>((resolve) => {
    const timer = setTimeout(resolve, ANSWER_MS);
    socket.once("close", () => {
      clearTimeout(timer);
      resolve();
    });
  });
  socket.destroy();
}

async function sendAll(
  daemon: SoakInstance,
  inputs: readonly OddInput[],
): Promise<void> {
  const rest = [...inputs];
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    for (let input = rest.pop(); input !== undefined; input = rest.pop()) {
      await send(daemon, input);
    }
  }));
}

/** Names what the daemon itself reports as a failure of its own. */
function listFailures({ output }: SoakInstance): readonly string[] {
  const events = ["handler-failed", "store-sync-failed", "request-send-failed"];
  return output.split("\n").filter((line) =>
    events.some((event) => line.includes(`event=${event} `))
  );
}

// Review 4: a heartbeat with a nested state, and other input of odd structure,
// ended the daemon that read it, and with it the requests of its callers.
testDaemons(
  "no input at a port of a daemon ends its process",
  1,
  async ([daemon]) => {
    const { pid } = daemon!;
    await sendAll(daemon!, listOddInputs());
    await sendAll(daemon!, fc.sample(ODD_INPUT, { numRuns: RUNS, seed: SEED }));
    assert.equal({
      failures: listFailures(daemon!),
      isAlive: isAlive(pid),
      isServed: await isServed(daemon!, "last"),
    }, { failures: [], isAlive: true, isServed: true });
  },
);

// The class of review 4 on the side of the store: an answer without a field
// that was read unchecked ended the process.
testDaemons(
  "no answer of the store ends a daemon",
  1,
  async ([daemon], store) => {
    const { pid } = daemon!;
    for (const body of [...STORE_BODIES, ...ODD_VALUES]) {
      store.spoil = (path) => STORE_PATHS.includes(path) ? body : undefined;
      store.put("odd", body);
      await sleep(WRONG_STORE_MS);
    }
    store.spoil = () => undefined;
    store.put(CONFIG_KEY, JSON.stringify(sampleConfig(2)));
    await until(
      () =>
        daemon!.output.includes("event=config-adopted") &&
        /config-adopted .*version=2 /.test(daemon!.output),
      "the new version is adopted",
    );
    assert.equal({
      failures: listFailures(daemon!),
      isAlive: isAlive(pid),
      isServed: await isServed(daemon!, "last"),
    }, { failures: [], isAlive: true, isServed: true });
  },
);

function isAlive(pid: number): boolean {
  try {
    return process.kill(pid, 0);
  } catch {
    // There is no such process.
    return false;
  }
}

test.run();
