import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeMesh } from "../../platform/fakes/mesh.ts";
import { formatTransferPermitTarget } from "../../src/protocol/peer_call.ts";
import { until } from "../../testkit/until.ts";

const UPLOADS = 12;
/** Over 20 ms on a link of 7 Mbit/s, so that it asks for a place. */
const BODY = "x".repeat(60_000);

test("a burst of uploads over slow links is served whole", async () => {
  const mesh = await FakeMesh.start(2, { linkMbps: 7 });
  try {
    // All go from the first instance over the link of the second.
    await mesh.announce(0, "draining");
    const replies = await Promise.all(
      Array.from({ length: UPLOADS }, (_, index) =>
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
    }, { statuses: [200], runs: UPLOADS, areWhole: true });
  } finally {
    await mesh.stop();
  }
});

// Guards against uploads that wait for a place until their callers' time is
// over, and whose callers cannot tell whether they ran.
test("an upload without a chance of a place is refused at once", async () => {
  const mesh = await FakeMesh.start(2, { linkMbps: 7 });
  try {
    await mesh.announce(0, "draining");
    const { peerAddress } = mesh.instances[1]!.settings;
    // Places that nobody uses lapse after a second each.
    for (let index = 0; index < 2 * UPLOADS; index++) {
      const target = formatTransferPermitTarget(`held-${index}`, 60_000);
      // Most are still open as the mesh ends.
      fetch(`http://${peerAddress}${target}`).catch(() => {});
    }
    await until(
      async () => {
        const answer = await fetch(
          `http://${peerAddress}${formatTransferPermitTarget("probe", 0)}`,
        );
        return answer.status === 503;
      },
      "all places are held",
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
      returns: Number(reply.headers["retry-after"]) > 0.5,
      isPrompt,
      runs: runs.length,
    }, { status: 503, returns: true, isPrompt: true, runs: 0 });
  } finally {
    await mesh.stop();
  }
});

test.run();
