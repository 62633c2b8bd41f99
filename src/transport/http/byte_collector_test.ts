import { Buffer } from "node:buffer";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ByteCollector } from "./byte_collector.ts";

test("take() returns pieces of all sizes in order", () => {
  const pieces = [1, 20_000, 3, 16_384, 16_383, 2, 0, 40_000].map(
    (sizeBytes, index) => Buffer.alloc(sizeBytes, 65 + index),
  );
  const collector = new ByteCollector();
  for (const piece of pieces) {
    collector.append(piece);
    piece.fill(0);
  }
  const { sizeBytes } = collector;
  const runs = [...collector.take().toString().matchAll(/(.)\1*/g)]
    .map(([run, letter]) => `${letter}${run.length}`);
  assert.equal({ sizeBytes, runs, left: collector.sizeBytes }, {
    sizeBytes: 92_773,
    runs: ["A1", "B20000", "C3", "D16384", "E16383", "F2", "H40000"],
    left: 0,
  });
});

const PIECES = 1_000_000;
const MAX_BYTES_PER_PIECE = 8;

// A backend server that sent a body in chunks of a byte, without end: an object
// was kept for each, and the daemon ran out of memory at a few megabytes.
test("append() takes little more memory than the bytes of short pieces", () => {
  const memoryBytes = () => {
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
  };
  const collector = new ByteCollector();
  const piece = Buffer.from("x");
  const beforeBytes = memoryBytes();
  for (let index = 0; index < PIECES; index++) collector.append(piece);
  const takenBytes = memoryBytes() - beforeBytes;
  assert.is(collector.sizeBytes, PIECES);
  assert.ok(
    takenBytes < PIECES * MAX_BYTES_PER_PIECE,
    `${takenBytes} bytes for ${PIECES} pieces of a byte`,
  );
});

test.run();
