import { test } from "uvu";
import * as assert from "uvu/assert";
import { Cancellation } from "./cancellation.ts";

test("Cancellation calls its listeners once, in order", () => {
  const cancel = new Cancellation();
  const called: string[] = [];
  cancel.addEventListener("abort", () => called.push("first"));
  cancel.addEventListener("abort", () => called.push("second"));
  assert.is(cancel.signal.aborted, false);
  cancel.abort();
  cancel.abort();
  assert.is(cancel.signal.aborted, true);
  assert.equal(called, ["first", "second"]);
});

// Guards against a call that ends as another listener runs and is cancelled all
// the same, and against listeners of a request that has been cancelled before.
test("Cancellation calls no listener that was removed or came too late", () => {
  const cancel = new Cancellation();
  const called: string[] = [];
  const late = () => called.push("late");
  const removed = () => called.push("removed");
  cancel.addEventListener("abort", () => {
    cancel.removeEventListener("abort", removed);
    cancel.addEventListener("abort", late);
  });
  cancel.addEventListener("abort", removed);
  cancel.abort();
  cancel.addEventListener("abort", late);
  assert.equal(called, []);
});

test.run();
