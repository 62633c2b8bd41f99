import { test } from "uvu";
import * as assert from "uvu/assert";
import { CallStatusTable } from "./call_status_table.ts";

test("open() refuses a request that a query reported as unknown", () => {
  const table = new CallStatusTable();
  const answers = [
    table.query("late", 0),
    table.open("late", 100),
    table.open("known", 100),
    table.query("known", 200),
  ];
  table.end("known", 300);
  answers.push(table.query("known", 400));
  assert.equal(answers, ["unknown", false, true, "open", "ended"]);
});

test("open() accepts a request again once its refusal has expired", () => {
  const table = new CallStatusTable();
  table.query("late", 0);
  assert.is(table.open("late", 10_001), true);
});

test.run();
