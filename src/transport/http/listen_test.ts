import { createServer } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { blockUntilCallersConnect } from "../../../testkit/block_until_callers_connect.ts";
import { closeServer, listen, stopAccepting } from "./listen.ts";

const CALLERS = 20;
const HEAD = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close";

// Guards against connections that were reset as a busy daemon stopped: the port
// was closed while callers waited to be accepted.
test("stopAccepting() serves the connections that wait", async () => {
  const server = createServer((_request, response) => response.end());
  const port = await listen(server, "127.0.0.1", 0);
  const { answered } = blockUntilCallersConnect(port, CALLERS, HEAD);
  await stopAccepting(server);
  assert.is(await answered, CALLERS);
  await closeServer(server);
});

test.run();
