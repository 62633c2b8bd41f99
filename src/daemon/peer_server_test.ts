import { test } from "uvu";
import * as assert from "uvu/assert";
import { blockUntilCallersConnect } from "../../testkit/block_until_callers_connect.ts";
import { HEADER_PEER_TOKEN } from "../protocol/headers.ts";
import { PeerAuth } from "../transport/control/peer_auth.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { EventLoopMonitor } from "../transport/observe/event_loop_monitor.ts";
import type { Destination } from "./destination.ts";
import { PeerServer } from "./peer_server.ts";

const HOST = "127.0.0.1";
const CALLERS = 20;
const LOAD = { running: 0, queued: 0, limit: 8 };

// Guards against calls with an unknown outcome: a daemon whose event loop had
// been blocked stopped and reset the connections that it had not accepted yet.
test("close() answers the calls that wait in the accept queue", async () => {
  const log = new EventLog({ level: "none", file: "/dev/null" });
  const auth = new PeerAuth([{ id: "k1", secret: "test-secret-0123456789" }]);
  const server = new PeerServer({
    destination: { admission: { load: LOAD } } as Destination,
    auth,
    loop: new EventLoopMonitor({ log }),
    log,
    onSender: () => {},
  });
  const port = await server.listen(HOST, 0);
  const token = auth.token("sender", Date.now());
  const { answered } = blockUntilCallersConnect(
    port,
    CALLERS,
    `GET / HTTP/1.1\r\nhost: a\r\n${HEADER_PEER_TOKEN}: ${token}`,
  );
  await server.close();
  assert.is(await answered, CALLERS);
});

test.run();
