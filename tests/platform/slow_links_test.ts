import { test } from "uvu";
import * as assert from "uvu/assert";
import { FaultProxy } from "../../fakes/fault_proxy.ts";
import { KvStore } from "../../platform/kv_store.ts";
import { KvServer } from "../../platform/fakes/kv_server.ts";
import { decodeConfig } from "../../platform/config_codec.ts";
import {
  CONFIG_KEY,
  FakeMesh,
  sampleConfig,
  sampleRoute,
} from "../../platform/fakes/mesh.ts";
import { BackendState } from "../../src/protocol/mesh.ts";
import { PeerClient } from "../../src/sidecar/peer_client.ts";
import { formatTransferPermitTarget } from "../../src/protocol/transfer_permit.ts";
import { until } from "../../testkit/until.ts";

const UPLOAD_COUNT = 12;
/** Takes over 20 ms on a link of 7 Mbit/s, so it needs a transfer permit. */
const BODY = "x".repeat(60_000);

/** Routes of a large configuration of some 300 KB. */
const ROUTE_COUNT = 2_000;
/** Bandwidth of the slowest links of a large fleet, 4.9 Mbit/s. */
const SLOW_BYTES_PER_S = 612_500;
/** Takes 2.2 s on such a link in base64, in bytes. */
const LONG_LISTING_BYTES = 1_000_000;

// Guards against versions that no daemon on a slow link gets from another one:
// their transfer took longer than the time limit.
test("PeerClient.fetchConfig() gets a large configuration over a slow link in time", async () => {
  const mesh = await FakeMesh.start(1);
  const { settings } = mesh.instances[0]!;
  const proxy = new FaultProxy(Number(settings.peerAddress.split(":")[1]));
  try {
    const routes = Array.from(
      { length: ROUTE_COUNT },
      (_, index) => sampleRoute(`route-${index}`),
    );
    mesh.store.put(CONFIG_KEY, JSON.stringify(sampleConfig(2, routes)));
    await until(
      async () => (await mesh.call(0, { path: "/route-1/1" })).status === 200,
      "the version is applied",
    );
    const port = await proxy.listen();
    proxy.set({ kind: "slow", delayMs: 1, bytesPerS: SLOW_BYTES_PER_S });
    const client = new PeerClient({
      id: "i-0",
      instance: settings.instance,
      service: "stock",
      domain: "a",
      peerAddress: `127.0.0.1:${port}`,
      slots: 1,
      state: BackendState.Ready,
      bornAtUnixMs: 1,
      linkMbps: 4.9,
    }, { onStatusReport: () => {} });
    const bytes = await client.fetchConfig();
    client.close();
    assert.is(bytes && decodeConfig(bytes).version, 2);
  } finally {
    await proxy.close();
    await mesh.stop();
  }
});

// Guards against daemons on slow links that never get a listing: its transfer
// took longer than the time limit, however steadily it came.
test("KvStore.list() waits for a listing that takes long and comes steadily", async () => {
  const store = await KvServer.start();
  const proxy = new FaultProxy(Number(store.address.split(":")[1]));
  try {
    store.put(CONFIG_KEY, "x".repeat(LONG_LISTING_BYTES));
    const port = await proxy.listen();
    proxy.set({ kind: "slow", delayMs: 1, bytesPerS: SLOW_BYTES_PER_S });
    const listed = await new KvStore(`127.0.0.1:${port}`).list("");
    const sizes = listed.map(({ entries }) =>
      entries.map(({ value }) => value.length)
    );
    assert.equal(sizes.unwrapOr([]), [LONG_LISTING_BYTES]);
  } finally {
    await proxy.close();
    await store.stop();
  }
});

test("all uploads of a burst over slow links are served", async () => {
  const mesh = await FakeMesh.start(2, { linkMbps: 7 });
  try {
    // All go from the first instance to the second over its link.
    await mesh.announce(0, "draining");
    const replies = await Promise.all(
      Array.from({ length: UPLOAD_COUNT }, (_, index) =>
        mesh.call(0, {
          path: "/orders/1",
          method: "POST",
          body: BODY,
          id: `upload-${index}`,
        })),
    );
    const runs = mesh.instances.flatMap(({ backend }) => backend.runs);
    assert.equal({
      statuses: [...new Set(replies.map(({ status }) => status))],
      runs: runs.length,
      areWhole: runs.every(({ body }) => body === BODY),
    }, { statuses: [200], runs: UPLOAD_COUNT, areWhole: true });
  } finally {
    await mesh.stop();
  }
});

// Guards against uploads that wait for a transfer permit until their deadlines,
// so that their callers cannot tell whether they ran.
test("an upload that cannot get a transfer permit in time is refused at once", async () => {
  const mesh = await FakeMesh.start(2, { linkMbps: 7 });
  try {
    await mesh.announce(0, "draining");
    const { peerAddress } = mesh.instances[1]!.settings;
    // Unused permits expire after a second each.
    for (let index = 0; index < 2 * UPLOAD_COUNT; index++) {
      const target = formatTransferPermitTarget(`held-${index}`, 60_000);
      // Most of these requests are still open when the mesh stops.
      fetch(`http://${peerAddress}${target}`).catch(() => {});
    }
    await until(
      async () => {
        const response = await fetch(
          `http://${peerAddress}${formatTransferPermitTarget("probe", 0)}`,
        );
        return response.status === 503;
      },
      "all permits are held",
    );
    const sentAtMs = performance.now();
    const reply = await mesh.call(0, {
      path: "/orders/1",
      method: "POST",
      body: BODY,
    });
    const isPrompt = performance.now() - sentAtMs < 500;
    const runs = mesh.instances.flatMap(({ backend }) => backend.runs);
    assert.equal({
      status: reply.status,
      hasRetryAfter: Number(reply.headers["retry-after"]) > 0.5,
      isPrompt,
      runs: runs.length,
    }, { status: 503, hasRetryAfter: true, isPrompt: true, runs: 0 });
  } finally {
    await mesh.stop();
  }
});

test.run();
