import { Buffer } from "node:buffer";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { test } from "uvu";
import { KvServer } from "../../platform/fakes/kv_server.ts";
import {
  CONFIG_KEY,
  sampleConfig,
  sampleRoute,
} from "../../platform/fakes/mesh.ts";
import { SoakInstance } from "../../soak/instance.ts";
import { encodeFrame, FrameKind } from "../../src/protocol/call_frame.ts";
import { RequestKind } from "../../src/protocol/mesh.ts";
import { formatCall, HEADER_CALL } from "../../src/protocol/peer_call.ts";
import { CHANNEL_UPGRADE_REQUEST } from "../../src/transport/channel/channel_handshake.ts";
import {
  BodyForm,
  type BodySender,
  LIMIT_BYTES,
} from "../../testkit/body_sender.ts";
import { until } from "../../testkit/until.ts";
import {
  type DaemonUnderTest,
  MEMORY_MB,
  testClients,
} from "../uncontrolled_clients.ts";
import { isServed } from "./daemon_processes.ts";

/** Time within which a daemon must serve requests, in ms. */
const START_TIMEOUT_MS = 20_000;
/** Longer than the tests, so that no body is given up at its deadline. */
const UPLOAD_TIMEOUT_MS = 30_000;
/** Size of a frame's head and body that never comes in full, in bytes. */
const FRAME_PIECE = Buffer.alloc(64 * 1024, "x");

interface SidecarUnderTest extends DaemonUnderTest {
  readonly instance: SoakInstance;
}

const FOLDER = mkdtempSync(join(tmpdir(), "sesamepond-"));
const BUNDLE = join(FOLDER, "sesamepond.cjs");

test.before(() => {
  spawnSync(process.execPath, ["scripts/build_platform.mjs", BUNDLE]);
});

test.after(() => rmSync(FOLDER, { recursive: true }));

function clientConfig(): object {
  const uploads = {
    ...sampleRoute("uploads"),
    Kind: "non_idempotent",
    Action: { Service: "stock", TimeoutS: UPLOAD_TIMEOUT_MS / 1_000 },
  };
  const config = sampleConfig(1, [uploads]) as { Limits: object };
  return {
    ...config,
    Limits: { ...config.Limits, MaxBodyBytes: LIMIT_BYTES },
  };
}

async function start(): Promise<SidecarUnderTest> {
  const store = await KvServer.start();
  store.put(CONFIG_KEY, JSON.stringify(clientConfig()));
  const instance = await SoakInstance.start({
    index: 0,
    domain: "domain-0",
    folder: FOLDER,
    bundle: BUNDLE,
    storePort: Number(store.address.split(":")[1]),
    memoryMb: MEMORY_MB,
  });
  await until(
    () => isServed(instance, "first"),
    "the daemon serves",
    START_TIMEOUT_MS,
  );
  return {
    instance,
    pid: instance.pid,
    host: "127.0.0.1",
    isServed: () => isServed(instance, "ordinary"),
    end: async () => {
      await instance.end();
      await store.stop();
    },
  };
}

const PEER_CALL = formatCall({
  id: "upload",
  route: "uploads",
  kind: RequestKind.AtMostOnce,
  priority: 0,
  callerService: "",
  service: "stock",
  backendId: "i-0-1",
  remainingMs: UPLOAD_TIMEOUT_MS,
  objectiveInMs: UPLOAD_TIMEOUT_MS,
  configVersion: 1,
});

/** The ports, and the heads of the requests that are sent to them. */
const PORTS = {
  ingress: {
    portOf: ({ instance }: SidecarUnderTest) => instance.ingressPort,
    head: "POST /uploads/1 HTTP/1.1\r\nhost: shop.example\r\n" +
      `x-deadline-ms: ${UPLOAD_TIMEOUT_MS}\r\n`,
  },
  peer: {
    portOf: ({ instance }: SidecarUnderTest) => instance.peerPort,
    head: "POST /uploads/1 HTTP/1.1\r\nhost: shop.example\r\n" +
      `${HEADER_CALL}: ${PEER_CALL}\r\n`,
  },
  control: {
    portOf: ({ instance }: SidecarUnderTest) => instance.controlPort,
    head: "POST /api/rpc?call=instances.heartbeat&of=i-0-9 HTTP/1.1\r\n" +
      "host: localhost\r\n",
  },
};

// Guards against the end of the process by its memory use, and against a
// process that answers no request any more.
for (const [port, { portOf, head }] of Object.entries(PORTS)) {
  for (const form of Object.values(BodyForm)) {
    testClients(
      `sidecar, ${port} port: bodies sent ${form} do not exhaust the daemon`,
      start,
      portOf,
      (sender) => sender.send(head, form),
    );
  }
}

// Guards against the end of the process by frames that never come in full.
testClients(
  "sidecar, peer port: frames sent one byte short do not exhaust the daemon",
  start,
  PORTS.peer.portOf,
  sendFrame,
);

async function sendFrame(sender: BodySender): Promise<void> {
  await sender.write(Buffer.from(CHANNEL_UPGRADE_REQUEST));
  const prefix = encodeFrame(FrameKind.Call, 1);
  prefix.writeUInt32BE(prefix.length - 4 + LIMIT_BYTES, 0);
  await sender.write(prefix);
  await sender.repeat(FRAME_PIECE, LIMIT_BYTES - 1);
}

test.run();
