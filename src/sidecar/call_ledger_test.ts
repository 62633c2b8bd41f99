import { test } from "uvu";
import * as assert from "uvu/assert";
import { CallLedger } from "./call_ledger.ts";

test("open() refuses a request that was said not to have arrived", () => {
  const ledger = new CallLedger();
  const answers = [
    ledger.ask("late", 0),
    ledger.open("late", 100),
    ledger.open("known", 100),
    ledger.ask("known", 200),
  ];
  ledger.end("known", 300);
  answers.push(ledger.ask("known", 400));
  assert.equal(answers, ["unknown", false, true, "open", "ended"]);
});

test("open() takes a request again once its refusal is forgotten", () => {
  const ledger = new CallLedger();
  ledger.ask("late", 0);
  assert.is(ledger.open("late", 10_001), true);
});

test.run();
