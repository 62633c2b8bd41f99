import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeMesh } from "../../platform/fakes/mesh.ts";

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

test.run();
