import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer, type IncomingMessage } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatheredPieces, isFragmented } from "./body_pieces.ts";
import { readBody } from "./read_body.ts";

const BODY = Buffer.from(
  Array.from({ length: 300_000 }, (_, index) => index * 31 % 251),
);
const HEAD = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
const END = "0\r\n\r\n";

function formatChunks(body: Buffer, sizeBytes: number): Buffer {
  const parts: Buffer[] = [];
  for (let offset = 0; offset < body.length; offset += sizeBytes) {
    const chunk = body.subarray(offset, offset + sizeBytes);
    parts.push(Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk);
    parts.push(Buffer.from("\r\n"));
  }
  return Buffer.concat(parts);
}

/** Returns how the body of a request was read. */
async function read(
  send: (socket: Socket) => void,
  pauseMs = 0,
): Promise<string> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  socket.on("error", () => {
    // The server closes the connection.
  });
  send(socket);
  const [request] = await once(server, "request") as [IncomingMessage];
  const pieces: Buffer[] = [];
  let wasGivenUp = false;
  try {
    const gathered = new GatheredPieces(request, () => wasGivenUp = true);
    for await (const piece of gathered.read()) {
      pieces.push(piece);
      await sleep(pauseMs);
    }
    return Buffer.concat(pieces).equals(BODY) ? "whole" : "another body";
  } catch {
    return wasGivenUp ? "given up" : "broken";
  } finally {
    socket.destroy();
    server.close();
    server.closeAllConnections();
  }
}

test("GatheredPieces reads a body whole, whatever its chunks and its reader's pace", async () => {
  const results = [];
  for (const sizeBytes of [9, 1_000, 65_536]) {
    for (const pauseMs of [0, 1]) {
      results.push(
        await read((socket) => {
          socket.write(HEAD);
          socket.write(formatChunks(BODY, sizeBytes));
          socket.write(END);
        }, pauseMs),
      );
    }
  }
  assert.equal(results, Array.from({ length: 6 }, () => "whole"));
});

// Guards against a body that was cut off and passed on as a whole one.
test("GatheredPieces fails where the sender leaves within the body", async () => {
  const result = await read((socket) => {
    socket.write(HEAD);
    socket.write(formatChunks(BODY, 1_000));
    setTimeout(() => socket.destroy(), 100);
  });
  assert.is(result, "broken");
});

const sendTinyChunks = (socket: Socket) => {
  socket.write(HEAD);
  socket.write(formatChunks(BODY, 1));
  socket.write(END);
};

// Guards against the processor time that chunks of one byte take.
test("GatheredPieces gives up a body in chunks of one byte", async () => {
  assert.is(await read(sendTinyChunks), "given up");
});

/** Returns how a server reads bodies in chunks of one byte, all at once. */
async function readAtOnce(count: number): Promise<readonly string[]> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const results = new Promise<string[]>((resolve) => {
    const kinds: string[] = [];
    server.on("request", async (request: IncomingMessage) => {
      const read = await readBody(request, {
        maxBytes: BODY.length,
        deadlineMs: performance.now() + 60_000,
      });
      const isWhole = read.kind === "whole" && read.body?.equals(BODY) === true;
      if (read.kind === "whole") read.release();
      kinds.push(isWhole ? "whole" : read.kind);
      if (kinds.length === count) resolve(kinds.sort());
    });
  });
  const sockets = Array.from({ length: count }, () => {
    const socket = connect(port, "127.0.0.1");
    sendTinyChunks(socket);
    return socket;
  });
  const kinds = await results;
  for (const socket of sockets) socket.destroy();
  server.close();
  server.closeAllConnections();
  return kinds;
}

// Guards against a limit that refuses what the configured limits allow.
test("readBody() reads a single body in chunks of one byte", async () => {
  assert.equal(await readAtOnce(1), ["whole"]);
});

// Guards against the processor time that chunks of one byte take.
test("readBody() refuses all bodies in chunks of one byte but one", async () => {
  assert.equal(await readAtOnce(4), ["refused", "refused", "refused", "whole"]);
});

test("isFragmented() accepts short bodies, and chunks of eight bytes", () => {
  assert.equal([
    isFragmented(8_191, 8_191),
    isFragmented(8_192, 8_192),
    isFragmented(1_000_000, 8_000_000),
  ], [false, true, false]);
});

test.run();
