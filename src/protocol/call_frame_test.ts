import { Buffer } from "node:buffer";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { encodeFrame, FrameKind, FrameReader } from "./call_frame.ts";

const BYTES = Buffer.concat([
  encodeFrame(FrameKind.Call, 1, { head: "grün", body: Buffer.from("body") }),
  encodeFrame(FrameKind.Ping, 0xffffffff),
  encodeFrame(FrameKind.Result, 2, { head: "h" }),
]);

const DECODED = [
  "1 1 grün body",
  "4 4294967295  ",
  "2 2 h ",
];

function readChunks(chunks: readonly Buffer[]): string[] {
  const reader = new FrameReader();
  return chunks.flatMap((chunk) => reader.push(chunk)).map((frame) =>
    `${frame.kind} ${frame.call} ${frame.head} ${frame.body}`
  );
}

test("FrameReader reads the same frames wherever the bytes are split", () => {
  const splits = [...BYTES.keys()].map((offset) =>
    readChunks([BYTES.subarray(0, offset), BYTES.subarray(offset)])
  );
  const single = readChunks([...BYTES].map((byte) => Buffer.from([byte])));
  assert.equal(single, DECODED);
  for (const frames of splits) assert.equal(frames, DECODED);
});

test("FrameReader throws on malformed frames", () => {
  const readCorrupted = (change: (frame: Buffer) => void) => {
    const frame = encodeFrame(FrameKind.Call, 1, { head: "head" });
    change(frame);
    try {
      new FrameReader().push(frame);
      return "read";
    } catch (error) {
      return (error as Error).message;
    }
  };
  assert.equal([
    readCorrupted((frame) => frame.writeUInt32BE(0xffffffff, 0)),
    readCorrupted((frame) => frame.writeUInt32BE(3, 0)),
    readCorrupted((frame) => frame.writeUInt8(9, 4)),
    readCorrupted((frame) => frame.writeUInt32BE(5, 9)),
  ], [
    "Cannot read frame: 4294967299 bytes is not a valid size",
    "Cannot read frame: 7 bytes is not a valid size",
    "Cannot read frame: kind 9 is unknown",
    "Cannot read frame: the head extends past the end of the frame",
  ]);
});

test("FrameReader reads arbitrary bytes or throws a RangeError", () => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 40 })), (chunks) => {
      const reader = new FrameReader();
      try {
        for (const chunk of chunks) reader.push(Buffer.from(chunk));
      } catch (error) {
        assert.instance(error, RangeError);
      }
    }),
    { seed: 8, numRuns: 300 },
  );
});

test.run();
