import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RequestBody } from "./request_body.ts";

const TIMEOUT_MS = 200;
const SLACK_MS = 1_000;
const MAX_BYTES = 1_000;

/** Reads the body of a request that a caller sends only in part. */
async function readUnfinished(isCut: boolean): Promise<unknown> {
  const result = new Promise((resolve) => {
    const server = createServer((request) => {
      const deadlineMs = performance.now() + TIMEOUT_MS;
      void RequestBody.read(request, MAX_BYTES, deadlineMs).then((read) => {
        resolve(read);
        server.close();
        server.closeAllConnections();
      });
    });
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      const socket = connect(port, "127.0.0.1");
      socket.on("error", () => {
        // The server closes the connection.
      });
      socket.write(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\npart",
      );
      if (isCut) setTimeout(() => socket.destroy(), TIMEOUT_MS / 2);
    });
  });
  return await Promise.race([
    result,
    sleep(TIMEOUT_MS + SLACK_MS, "still waiting", { ref: false }),
  ]);
}

// The class of review 1: a caller that went silent within a body kept its place
// among the running requests of the daemon for ever.
test("read() gives up a body that does not come at the deadline", async () => {
  assert.equal({
    silent: await readUnfinished(false),
    cut: await readUnfinished(true),
  }, {
    silent: { kind: "refused", reason: "deadline-exceeded" },
    cut: { kind: "refused", reason: "body-cut-short" },
  });
});

test.run();
