import { spawn } from "node:child_process";
import { setTimeout as sleep } from "node:timers/promises";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { formatFields } from "./event_log.ts";

const LINE_COUNT = 3_000;

/** Logs more than a pipe holds, then ticks until it is terminated. */
const WRITER = `
import { EventLog } from "${new URL("./event_log.js", import.meta.url)}";
// Opening the stream makes the pipe non-blocking, so it refuses excess text.
process.stdout.on("error", () => {});
const log = new EventLog();
for (let number = 0; number < ${LINE_COUNT}; number++) {
  log.info("line", { number, filler: "x".repeat(200) });
}
const ticks = setInterval(() => log.info("tick"), 20);
process.once("SIGTERM", () => { clearInterval(ticks); log.close(); });
`;

test("info() loses no line when the reader of a pipe is slow", async () => {
  const args = ["--input-type=module", "-e", WRITER];
  const writer = spawn(process.execPath, args, {
    stdio: ["ignore", "pipe", "inherit"],
  });
  await sleep(500);
  let text = "";
  for await (const chunk of writer.stdout) {
    text += String(chunk);
    const ticks = text.split("event=tick").length - 1;
    if (ticks > 2) writer.kill("SIGTERM");
  }
  const numbers = [...text.matchAll(/event=line number=(\d+) filler=x{200}\n/g)]
    .map(([, number]) => Number(number));
  assert.equal(
    numbers,
    Array.from({ length: LINE_COUNT }, (_, number) => number),
  );
});

test("formatFields() quotes what would break a line", () => {
  const line = formatFields({ a: 1, b: "x y", c: "p\nq", d: undefined, e: "" });
  assert.is(line, ' a=1 b="x y" c="p\\nq" e=""');
});

test.run();
