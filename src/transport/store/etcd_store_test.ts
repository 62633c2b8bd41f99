import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EtcdStore } from "./etcd_store.ts";

const BODIES = [
  "null",
  "7",
  '{"kvs":7}',
  '{"kvs":[null]}',
  '{"kvs":[{"key":{},"value":7}]}',
  '{"responses":[null]}',
  "[".repeat(6_000) + "]".repeat(6_000),
];

// The class of review 4 in the other daemon: an answer without a field that was
// read unchecked rejected the call, which ends a process that expects a result.
test("no answer of the store rejects a call", async () => {
  let body = "";
  const server = createServer((_request, response) => void response.end(body));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const store = new EtcdStore([`127.0.0.1:${port}`], { callsPerSecond: 1_000 });
  const rejected: string[] = [];
  for (body of BODIES) {
    const calls = {
      get: () => store.get("a"),
      list: () => store.list("a"),
      grantLease: () => store.grantLease(1),
      renewLease: () => store.renewLease("1"),
      commit: () => store.commit({ conditions: [], writes: [] }),
    };
    for (const [name, call] of Object.entries(calls)) {
      try {
        await call();
      } catch {
        // A call has a result in any case.
        rejected.push(`${name} ${body.slice(0, 40)}`);
      }
    }
  }
  await store.close();
  server.close();
  server.closeAllConnections();
  assert.equal(rejected, []);
});

test.run();
