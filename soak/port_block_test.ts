import { test } from "uvu";
import * as assert from "uvu/assert";
import { claimPortBlock, USABLE_PORTS } from "./port_block.ts";

// Guards against two runs whose callers reach each other's daemons.
test("claimPortBlock() skips a block that is taken", async () => {
  const first = await claimPortBlock(7);
  const second = await claimPortBlock(7);
  assert.ok(Math.abs(first - second) > USABLE_PORTS);
});

test.run();
