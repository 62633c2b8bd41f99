import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { HEADER_PEER_TOKEN } from "../../src/protocol/headers.ts";
import { HEADER_PEER_CALL } from "../../src/protocol/peer_headers.ts";
import { PeerAuth } from "../../src/transport/control/peer_auth.ts";
import { call } from "../../testkit/caller.ts";
import { FLEET_KEYS } from "../../testkit/daemon_process.ts";
import { Fleet } from "../../testkit/fleet.ts";
import { sampleSource, VENDOR_TOKEN } from "../../testkit/sample_config.ts";
import { ODD_VALUES } from "../platform/odd_input.ts";

/** Time after which a connection without an answer is closed, in ms. */
const ANSWER_MS = 200;
const CONCURRENCY = 20;

const TARGETS: readonly string[] = [
  "//",
  "*",
  "http://[",
  "/%",
  "/%ff?%",
  "/lookup/%ff",
  "/requests/%",
  "/requests/%ff",
  "/announce",
  "/" + "/".repeat(8_000),
];
const CONTROL_CALLS = [
  "Exchange",
  "ProbeFor",
  "Sync",
  "PushConfig",
  "PullConfig",
  "Settle",
  "Claim",
  "CompleteClaim",
  "Survey",
  "Odd",
];
const CALL_FIELDS = [
  "odd",
  "lookup",
  "urgent",
  "vendor",
  "200",
  "0",
  "1",
  "1",
  "x",
  "y",
] as const;
const FIELD_TEXTS = ["", "%", "-1", "1e400", "NaN", "a".repeat(4_000)];
const ODD_HEADERS: readonly string[] = [
  "x-sesamepond-timeout-ms: 1e400",
  "idempotency-key: %ff",
  "authorization: Bearer",
  "authorization: Bearer " + "a".repeat(4_000),
  "transfer-encoding: chunked\r\ncontent-length: 3",
  "content-length: -1",
  "expect: odd",
  "upgrade: odd\r\nconnection: upgrade",
];

function formatRequest(
  target: string,
  options: { readonly headers?: string; readonly body?: string } = {},
): string {
  const { headers = "", body } = options;
  const method = body === undefined ? "GET" : "POST";
  const length = body === undefined
    ? ""
    : `content-type: application/json\r\ncontent-length: ${
      Buffer.byteLength(body)
    }\r\n`;
  return `${method} ${target} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n` +
    `authorization: Bearer ${VENDOR_TOKEN}\r\n${headers}${length}\r\n${
      body ?? ""
    }`;
}

function listRequests(token: string): readonly string[] {
  const peer = `${HEADER_PEER_TOKEN}: ${token}\r\n`;
  return [
    ...TARGETS.map((target) => formatRequest(target, { headers: peer })),
    ...ODD_HEADERS.map((header) =>
      formatRequest("/lookup/1", { headers: `${peer}${header}\r\n` })
    ),
    ...ODD_VALUES.flatMap((body) => [
      formatRequest("/announce", { body }),
      formatRequest("/lookup/1", { body }),
      ...CONTROL_CALLS.map((name) =>
        formatRequest(`/sesamepond.v1.Fleet/${name}`, { headers: peer, body })
      ),
    ]),
    ...CALL_FIELDS.flatMap((_, index) =>
      FIELD_TEXTS.map((text) => {
        const description = CALL_FIELDS.with(index as 0, text as "odd");
        const header = `${HEADER_PEER_CALL}: ${description.join(";")}\r\n`;
        return formatRequest("/lookup/1", { headers: peer + header });
      })
    ),
    "\u0000\u0001\r\n\r\n",
  ];
}

function send(host: string, port: number, bytes: string): Promise<void> {
  return new Promise((resolve) => {
    const socket = connect(port, host, () => socket.write(bytes, "latin1"));
    const timer = setTimeout(() => socket.destroy(), ANSWER_MS);
    socket.resume();
    socket.on("error", () => {
      // The daemon may reset the connection.
    });
    socket.once("close", () => {
      clearTimeout(timer);
      resolve();
    });
  });
}

// The class of review 4 in the other daemon: input of odd structure at one of
// its ports must not end its process.
test("no input at a port of a daemon of the fleet ends its process", async () => {
  const fleet = await Fleet.start({
    network: 17,
    source: sampleSource(),
    domains: [{ name: "east", services: ["lookup"] }],
  });
  const { daemon } = fleet.instances[0]!;
  const { host } = daemon.plan;
  const ports = [
    daemon.ports.ingress,
    daemon.ports.admin,
    daemon.peerProxy.port,
    daemon.controlProxy.port,
  ];
  const token = new PeerAuth(FLEET_KEYS).token("odd", Date.now());
  const rest = listRequests(token).flatMap((bytes) =>
    ports.map((port) => ({ port, bytes }))
  );
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    for (let next = rest.pop(); next !== undefined; next = rest.pop()) {
      await send(host, next.port, next.bytes);
    }
  }));
  const { status } = await call(daemon.ingress, "/lookup/1");
  const { hasExited } = daemon.child;
  const failures = daemon.loggedEvents("handler-failed");
  await fleet.close();
  assert.equal({ status, hasExited, failures }, {
    status: 200,
    hasExited: false,
    failures: [],
  });
});

test.run();
