import { test } from "uvu";
import {
  formatPeerCall,
  HEADER_PEER_CALL,
} from "../../src/protocol/peer_headers.ts";
import { HEADER_PEER_TOKEN } from "../../src/protocol/headers.ts";
import { Rank } from "../../src/protocol/rank.ts";
import { PeerAuth } from "../../src/transport/control/peer_auth.ts";
import { BodyForm } from "../../testkit/body_sender.ts";
import { call } from "../../testkit/caller.ts";
import {
  type DaemonProcess,
  FLEET_KEYS,
} from "../../testkit/daemon_process.ts";
import { Fleet } from "../../testkit/fleet.ts";
import {
  sampleBase,
  sampleSource,
  VENDOR_TOKEN,
} from "../../testkit/sample_config.ts";
import {
  type DaemonUnderTest,
  MEMORY_MB,
  testClients,
} from "../uncontrolled_clients.ts";

/** Longer than the tests, so that no body is given up at its deadline. */
const UPLOAD_TIMEOUT_MS = 30_000;

interface FleetUnderTest extends DaemonUnderTest {
  readonly daemon: DaemonProcess;
}

async function start(): Promise<FleetUnderTest> {
  const base = sampleBase();
  base.services.lookup!.timeoutMs = UPLOAD_TIMEOUT_MS;
  const fleet = await Fleet.start({
    network: 29,
    source: sampleSource(base),
    domains: [{ name: "tobago", services: ["lookup"] }],
    isProxied: false,
    settings: { memoryMb: MEMORY_MB },
  });
  const { daemon } = fleet.instances[0]!;
  return {
    daemon,
    pid: daemon.child.pid,
    host: daemon.plan.host,
    isServed: async () =>
      (await call(daemon.ingress, "/lookup/1")).status === 200,
    end: () => fleet.close(),
  };
}

const PEER_CALL = formatPeerCall({
  id: "upload",
  service: "lookup",
  rank: Rank.Bulk,
  caller: "vendor",
  timeoutMs: UPLOAD_TIMEOUT_MS,
  depth: 1,
  retriesLeft: 0,
  isRedirectable: false,
  contentDigest: "",
  fingerprint: "POST /lookup",
});

/** The ports, and the heads of the requests that are sent to them. */
const PORTS = {
  ingress: {
    portOf: ({ daemon }: FleetUnderTest) => daemon.ports.ingress,
    head: () =>
      "POST /lookup/1 HTTP/1.1\r\nhost: localhost\r\n" +
      `authorization: Bearer ${VENDOR_TOKEN}\r\n`,
  },
  peer: {
    portOf: ({ daemon }: FleetUnderTest) => daemon.ports.peer,
    // A valid token, as a request without one is refused by its head.
    head: () =>
      "POST /lookup/1 HTTP/1.1\r\nhost: localhost\r\n" +
      `${HEADER_PEER_CALL}: ${PEER_CALL}\r\n${HEADER_PEER_TOKEN}: ${
        new PeerAuth(FLEET_KEYS).token("sender", Date.now())
      }\r\n`,
  },
  control: {
    portOf: ({ daemon }: FleetUnderTest) => daemon.ports.control,
    head: () =>
      "POST /sesamepond.v1.Fleet/PushConfig HTTP/1.1\r\n" +
      "host: localhost\r\ncontent-type: application/proto\r\n" +
      "connect-protocol-version: 1\r\n",
  },
};

// Guards against the end of the process by its memory use, and against a
// process that answers no request any more.
for (const [port, { portOf, head }] of Object.entries(PORTS)) {
  for (const form of Object.values(BodyForm)) {
    testClients(
      `daemon, ${port} port: bodies sent ${form} do not exhaust the daemon`,
      start,
      portOf,
      (sender) => sender.send(head(), form),
    );
  }
}

test.run();
