import { Buffer } from "node:buffer";
import fc from "fast-check";
import { encodeFrame, FrameKind } from "../../src/protocol/call_frame.ts";
import { HEADER_CALL, STATUS_PATH } from "../../src/protocol/peer_call.ts";
import { TRANSFER_PERMIT_PATH } from "../../src/protocol/transfer_permit.ts";
import { CHANNEL_UPGRADE_REQUEST } from "../../src/transport/channel/channel_handshake.ts";

/** Depth of a nested value, which overflows the stack of a recursive reader. */
const DEPTH = 6_000;

/** A port of a daemon that takes input from outside. */
export enum InputPort {
  Control = "control",
  Ready = "ready",
  Peers = "peers",
  Ingress = "ingress",
}

/** Bytes that somebody sends to a port on a new connection. */
export interface OddInput {
  readonly port: InputPort;
  readonly bytes: Buffer;
}

/** JSON texts whose values break readers that check no types. */
export const ODD_VALUES: readonly string[] = [
  "[".repeat(DEPTH) + "]".repeat(DEPTH),
  '{"a":'.repeat(DEPTH) + "1" + "}".repeat(DEPTH),
  '{"toString":1}',
  '{"toString":{},"valueOf":1}',
  '{"__proto__":{"x":1}}',
  '{"__proto__":null}',
  '"__proto__"',
  '"constructor"',
  '"\\ud800"',
  '"a\\r\\nx-attempt-id: 2"',
  '""',
  "null",
  "true",
  "-1",
  "0.5",
  "9007199254740993",
  "1e400",
  "[]",
  "{}",
];

/** Targets of requests that are no URL, or hold malformed escapes. */
const ODD_TARGETS: readonly string[] = [
  "//",
  "http://[",
  "http://x:99999999/",
  "*",
  "/%",
  "/%ff?%=%&of=%ff&call=%",
  `${STATUS_PATH}%`,
  `${STATUS_PATH}%ff?ageMs=x`,
  `${STATUS_PATH}a?ageMs=1e400`,
  `${TRANSFER_PERMIT_PATH}%`,
  `${TRANSFER_PERMIT_PATH}%ff?usefulMs=x`,
  `${TRANSFER_PERMIT_PATH}a?usefulMs=-1`,
  "/.sesamepond/feed?after=x&waitMs=1",
  "/.sesamepond/feed?after=0&waitMs=1e400",
  "/.sesamepond/feed",
  "/" + "/".repeat(8_000),
  "/?" + "%".repeat(8_000),
];

const HEARTBEAT_TARGET = "/api/rpc?call=instances.heartbeat&of=i-other";
const LEAVE_TARGET = "/api/rpc?call=instances.leave&of=i-other";
const HEARTBEAT_FIELDS: Readonly<Record<string, string>> = {
  Service: '"front"',
  Address: '"127.0.0.1:9"',
  Zone: '"a"',
  Version: '"v1"',
  Capacity: "4",
  State: '"asleep"',
  ColdLeftS: "0",
  Sequence: "1",
  born: "1",
};
const CALL_FIELDS: readonly string[] = [
  "odd",
  "stock",
  "i",
  "0",
  "stock",
  "stock",
  "i-0-1",
  "1000",
  "500",
  "1",
];
const FRAME_HEADS: readonly string[] = ['"x"', '["GET","/"]', "[]"];

const PORTS = Object.values(InputPort);
const VALUE = fc.oneof(
  fc.constantFrom(...ODD_VALUES),
  fc.json(),
  fc.jsonValue({ maxDepth: 4 }).map((value) => JSON.stringify(value)),
);
const TARGET = fc.oneof(
  fc.constantFrom(...ODD_TARGETS),
  fc.webPath(),
  fc.string({ unit: "binary-ascii", maxLength: 40 })
    .map((text) => "/" + text.replace(/[^!-~]/g, "%")),
);
const FIELD_TEXT = fc.oneof(
  fc.constantFrom("", "%", "%ff", "-1", "1e400", "NaN", "a".repeat(4_000)),
  fc.string({ maxLength: 12 }),
);
const METHOD = fc.constantFrom("GET", "POST", "PUT", "HEAD", "OPTIONS", "ODD");

/** Generates inputs for all ports, sound but for a part. */
export const ODD_INPUT: fc.Arbitrary<OddInput> = fc.oneof(
  fc.record({
    port: fc.constantFrom(...PORTS),
    bytes: fc.tuple(METHOD, TARGET, VALUE).map((parts) => toRequest(...parts)),
  }),
  VALUE.chain((value) =>
    fc.constantFrom(...Object.keys(HEARTBEAT_FIELDS)).map((field) =>
      heartbeatWith(field, value)
    )
  ),
  VALUE.map((body) => onControl(HEARTBEAT_TARGET, body)),
  VALUE.map((value) => onControl(LEAVE_TARGET, `{"born":${value}}`)),
  fc.tuple(fc.nat({ max: CALL_FIELDS.length - 1 }), FIELD_TEXT).map(
    ([index, text]) => peerCallWith(index, text),
  ),
  fc.tuple(fc.nat({ max: FRAME_HEADS.length - 1 }), VALUE).map((
    [index, value],
  ) => frameWith(index, value)),
  VALUE.map((head) => channelWith(encodeFrame(FrameKind.Call, 1, { head }))),
  fc.uint8Array({ maxLength: 64 }).map((bytes) =>
    channelWith(Buffer.from(bytes))
  ),
  fc.record({
    port: fc.constantFrom(...PORTS),
    bytes: fc.uint8Array({ maxLength: 64 }).map((bytes) => Buffer.from(bytes)),
  }),
);

/**
 * Lists each odd value in each field, and each odd target at each port.
 *
 * @returns The inputs.
 */
export function listOddInputs(): readonly OddInput[] {
  const inputs: OddInput[] = ODD_TARGETS.flatMap((target) =>
    PORTS.map((port) => ({ port, bytes: toRequest("GET", target) }))
  );
  for (const value of ODD_VALUES) {
    for (const field of Object.keys(HEARTBEAT_FIELDS)) {
      inputs.push(heartbeatWith(field, value));
    }
    inputs.push(
      onControl(HEARTBEAT_TARGET, value),
      onControl(LEAVE_TARGET, value),
      onControl(LEAVE_TARGET, `{"born":${value}}`),
      ...FRAME_HEADS.map((_, index) => frameWith(index, value)),
      channelWith(encodeFrame(FrameKind.Call, 1, { head: value })),
    );
  }
  for (let index = 0; index < CALL_FIELDS.length; index++) {
    for (const text of ["", "%", "%ff", "-1", "1e400", "NaN"]) {
      inputs.push(peerCallWith(index, text));
    }
  }
  return inputs;
}

function toRequest(method: string, target: string, body = ""): Buffer {
  return Buffer.from(
    `${method} ${target} HTTP/1.1\r\nhost: shop.example\r\n` +
      `x-attempt-id: odd\r\nx-deadline-ms: 50\r\nconnection: close\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}

function onControl(target: string, body: string): OddInput {
  return { port: InputPort.Control, bytes: toRequest("POST", target, body) };
}

/** A heartbeat of another writer; its state names no backend server to use. */
function heartbeatWith(field: string, value: string): OddInput {
  const fields = Object.entries({ ...HEARTBEAT_FIELDS, [field]: value })
    .map(([name, text]) => `"${name}":${text}`);
  return onControl(HEARTBEAT_TARGET, `{${fields.join(",")}}`);
}

function peerCallWith(index: number, text: string): OddInput {
  const description = CALL_FIELDS.with(index, text).join(";")
    .replace(/[^\x20-\x7e]/g, "%");
  return {
    port: InputPort.Peers,
    bytes: Buffer.from(
      `GET /stock/1 HTTP/1.1\r\nhost: shop.example\r\n` +
        `${HEADER_CALL}: ${description}\r\nconnection: close\r\n\r\n`,
    ),
  };
}

function frameWith(index: number, value: string): OddInput {
  const [description, start, headers] = FRAME_HEADS.with(index, value);
  const sound = index === 0
    ? description
    : JSON.stringify(CALL_FIELDS.join(";"));
  const nested = index === 1 ? `[${value},${value}]` : start;
  const head = `[${sound},${nested},${headers}]`;
  return channelWith(encodeFrame(FrameKind.Call, 1, { head }));
}

function channelWith(bytes: Buffer): OddInput {
  return {
    port: InputPort.Peers,
    bytes: Buffer.concat([Buffer.from(CHANNEL_UPGRADE_REQUEST), bytes]),
  };
}
