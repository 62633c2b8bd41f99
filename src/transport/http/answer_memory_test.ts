import { test } from "uvu";
import * as assert from "uvu/assert";
import { AnswerMemory } from "./answer_memory.ts";

// Guards against many answers without end that together fill the memory.
test("take() gives up the longest answer when all together are too long", () => {
  const memory = new AnswerMemory<string>(100);
  const given = [
    memory.take("a", 30),
    memory.take("endless", 50),
    memory.take("b", 10),
    memory.take("b", 15),
  ];
  memory.free("endless");
  assert.equal({
    given,
    after: memory.take("a", 40),
    sizes: ["a", "b", "endless"].map((answer) => memory.bytesOf(answer)),
  }, {
    given: [undefined, undefined, undefined, "endless"],
    after: undefined,
    sizes: [70, 25, 0],
  });
});

test.run();
