import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import { create } from "@bufbuild/protobuf";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type Member,
  MemberSchema,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { FleetClients } from "../transport/control/fleet_client.ts";
import { PeerAuth } from "../transport/control/peer_auth.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { EventLoopMonitor } from "../transport/observe/event_loop_monitor.ts";
import type { Destination } from "./destination.ts";
import { PeerForwarder } from "./peer_forwarder.ts";
import { PeerServer } from "./peer_server.ts";

const HOST = "127.0.0.1";
const LOAD = { running: 2, queued: 1, limit: 8 };
const auth = new PeerAuth([{ id: "k1", secret: "test-secret-0123456789" }]);

const senders: string[] = [];
const log = new EventLog({ level: "none", file: "/dev/null" });
const server = new PeerServer({
  destination: { admission: { load: LOAD } } as Destination,
  auth,
  loop: new EventLoopMonitor({ log }),
  log,
  onSender: (id) => senders.push(id),
});
const token = () => auth.token("asker", Date.now());
const clients = new FleetClients(token);
const forwarder = new PeerForwarder({
  clients,
  token,
  sourceAddress: undefined,
});
/** Accepts connections and resets them. */
const resetting: Server = createServer((socket) => socket.resetAndDestroy());

function memberAt(peerPort: number): Member {
  return create(MemberSchema, { id: "east", host: HOST, peerPort });
}

test.after(async () => {
  resetting.close();
  clients.close();
  await Promise.all([forwarder.close(), server.close()]);
});

test("probe() returns the load of a reachable daemon, and nothing where connections are reset or refused", async () => {
  const port = await server.listen(HOST, 0);
  await once(resetting.listen(0, HOST), "listening");
  const resetPort = (resetting.address() as AddressInfo).port;
  const reachable = await forwarder.probe(memberAt(port));
  const reset = await forwarder.probe(memberAt(resetPort));
  await server.close();
  const refused = await forwarder.probe(memberAt(port));
  assert.equal(
    {
      load: reachable?.limit,
      queued: reachable?.queued,
      reset,
      refused,
      senders,
    },
    {
      load: LOAD.limit,
      queued: LOAD.queued,
      reset: undefined,
      refused: undefined,
      senders: ["asker"],
    },
  );
});

test.run();
