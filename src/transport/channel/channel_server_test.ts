import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../../../testkit/until.ts";
import { encodeFrame, FrameKind } from "../../protocol/call_frame.ts";
import { CHANNEL_UPGRADE_REQUEST } from "./channel_handshake.ts";
import { ChannelServer, type ReceivedCall } from "./channel_server.ts";

const IDLE_MS = 100;

/** Runs a test with a raw connection to a server that records its calls. */
async function withSocket(
  run: (socket: Socket, calls: readonly ReceivedCall[]) => Promise<void>,
): Promise<void> {
  const http = createServer();
  const calls: ReceivedCall[] = [];
  const server = new ChannelServer(http, (call) => calls.push(call), {
    idleMs: IDLE_MS,
  });
  await new Promise<void>((resolve) => http.listen(0, "127.0.0.1", resolve));
  const socket = connect((http.address() as AddressInfo).port, "127.0.0.1");
  try {
    await run(socket, calls);
  } finally {
    socket.destroy();
    server.close();
    http.close();
  }
}

// Guards against work for callers that disconnected before a new channel was
// read.
test("ChannelServer marks all calls of a channel's first read", () =>
  withSocket(async (socket, calls) => {
    socket.write(Buffer.concat([
      Buffer.from(CHANNEL_UPGRADE_REQUEST),
      encodeFrame(FrameKind.Call, 1, { head: "a" }),
      encodeFrame(FrameKind.Call, 2, { head: "b" }),
    ]));
    await until(() => calls.length === 2, "the first calls");
    socket.write(encodeFrame(FrameKind.Call, 3, { head: "c" }));
    await until(() => calls.length === 3, "the last call");
    assert.equal(calls.map(({ isFromFirstRead: isFirst }) => isFirst), [
      true,
      true,
      false,
    ]);
  }));

// Guards against leaking the channels of peers that vanished.
test("ChannelServer closes an idle channel", () =>
  withSocket(async (socket) => {
    socket.write(CHANNEL_UPGRADE_REQUEST);
    socket.resume();
    await once(socket, "close");
    assert.ok(socket.destroyed);
  }));

// Guards against memory for frames that never come in full.
test("ChannelServer closes a channel that announces a frame beyond the limit", () =>
  withSocket(async (socket, calls) => {
    const frame = encodeFrame(FrameKind.Call, 1, {
      head: "a",
      body: Buffer.alloc(512 * 1024),
    });
    socket.write(CHANNEL_UPGRADE_REQUEST);
    socket.write(frame.subarray(0, 100));
    socket.on("error", () => {
      // The server may reset the connection.
    });
    socket.resume();
    await once(socket, "close");
    assert.is(calls.length, 0);
  }));

test.run();
