import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { BackendState, RequestKind } from "../protocol/mesh.ts";
import { TextMetrics } from "../transport/observe/text_metrics.ts";
import { PeerClient } from "./peer_client.ts";
import {
  PeerQueryHandler,
  type PeerQueryOptions,
} from "./peer_query_handler.ts";
import { TransferPermitQueue } from "./transfer_permit_queue.ts";

const DEADLINE_MS = 10_000;
/** Uploads of the large organisation. */
const BACKLOG = 20;

// Load: a backlog of uploads of one organisation, and the first upload of
// another one, from a daemon to a real port.
test("a first upload gets its permit before the backlog of another organisation", async () => {
  const permits = new TransferPermitQueue(new TextMetrics());
  const handler = new PeerQueryHandler(
    { transferPermits: permits } as PeerQueryOptions,
  );
  const order: string[] = [];
  let asked = 0;
  let releases = false;
  const server = createServer((request, response) => {
    const target = request.url ?? "";
    if (target.startsWith("/.sesamepond/place/")) {
      asked++;
      void handler.handle(request, response);
      return;
    }
    // The body of a request that has its permit.
    order.push(target.slice(1));
    if (releases) permits.release(order.at(-1)!);
    request.resume();
    request.once("end", () => response.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const client = new PeerClient({
    id: "b",
    instance: "i",
    service: "stock",
    domain: "a",
    peerAddress: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    slots: 1,
    state: BackendState.Ready,
    bornAtUnixMs: 1,
    linkMbps: 7,
  }, { onStatusReport: () => {} });
  const sends: Promise<unknown>[] = [];
  const upload = async (id: string, organisation: string) => {
    const nowMs = performance.now();
    sends.push(client.execute({
      id,
      method: "POST",
      path: `/${id}`,
      headers: [],
      body: Buffer.alloc(60_000),
      route: "upload",
      kind: RequestKind.Upload,
      priority: 0,
      callerService: "front",
      service: "stock",
      backendId: "b",
      deadlineMs: nowMs + DEADLINE_MS,
      objectiveAtMs: nowMs + DEADLINE_MS,
      organisation,
      organisationPriority: 0,
    }, {
      signal: new AbortController().signal,
      configVersion: 1,
      expectedMs: DEADLINE_MS,
      onSuspected: () => {},
    }));
    const expected = sends.length;
    while (asked < expected) await new Promise((done) => setTimeout(done, 1));
  };
  try {
    for (let index = 0; index < BACKLOG; index++) {
      await upload(`large${index}`, "large");
    }
    await upload("small", "small");
    releases = true;
    for (const id of [...order]) permits.release(id);
    await Promise.all(sends);
    // Permits that expire while the machine is slow are granted before.
    assert.ok(order.indexOf("small") < BACKLOG / 2, order.join(" "));
    assert.is(order.length, BACKLOG + 1);
  } finally {
    client.close();
    server.closeAllConnections();
    server.close();
  }
});

test.run();
