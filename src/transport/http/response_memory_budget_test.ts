import { test } from "uvu";
import * as assert from "uvu/assert";
import { ResponseMemoryBudget } from "./response_memory_budget.ts";

// Guards against many answers without end that together fill the memory.
test("take() gives up the longest answer when all together are too long", () => {
  const memory = new ResponseMemoryBudget<string>(100);
  const given = [
    memory.reserve("a", 30),
    memory.reserve("endless", 50),
    memory.reserve("b", 10),
    memory.reserve("b", 15),
  ];
  memory.release("endless");
  assert.equal({
    given,
    after: memory.reserve("a", 40),
    sizes: ["a", "b", "endless"].map((answer) => memory.bytesOf(answer)),
  }, {
    given: [undefined, undefined, undefined, "endless"],
    after: undefined,
    sizes: [70, 25, 0],
  });
});

test.run();
