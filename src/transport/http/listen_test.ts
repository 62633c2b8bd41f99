import { createServer } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { blockUntilCallersConnect } from "../../../testkit/block_until_callers_connect.ts";
import { closeServer, listen, stopAccepting } from "./listen.ts";

const CALLER_COUNT = 20;
const HEAD = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close";

// Guards against connection resets when a busy daemon stops: the port was
// closed while connections were waiting to be accepted.
test("stopAccepting() serves the pending connections", async () => {
  const server = createServer((_request, response) => response.end());
  const port = await listen(server, "127.0.0.1", 0);
  const { answered } = blockUntilCallersConnect(port, CALLER_COUNT, HEAD);
  await stopAccepting(server);
  assert.is(await answered, CALLER_COUNT);
  await closeServer(server);
});

test.run();
