import { test } from "uvu";
import * as assert from "uvu/assert";
import { ResponseMemory } from "./response_memory.ts";

// Guards against many endless responses that together exhaust the memory.
test("take() returns the longest response when the total exceeds the limit", () => {
  const memory = new ResponseMemory<string>(100);
  const evicted = [
    memory.take("a", 30),
    memory.take("endless", 50),
    memory.take("b", 10),
    memory.take("b", 15),
  ];
  memory.free("endless");
  assert.equal({
    evicted,
    after: memory.take("a", 40),
    sizes: ["a", "b", "endless"].map((response) => memory.bytesOf(response)),
  }, {
    evicted: [undefined, undefined, undefined, "endless"],
    after: undefined,
    sizes: [70, 25, 0],
  });
});

test.run();
