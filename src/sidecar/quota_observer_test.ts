import { test } from "uvu";
import * as assert from "uvu/assert";
import { QuotaBasis } from "../coordination/quota/mod.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { TextMetrics } from "../transport/observe/text_metrics.ts";
import { QuotaObserver } from "./quota_observer.ts";

// Guards against an organisation whose refusals use up the log lines of others.
test("a flood of one organisation hides no refusal of another in the log", () => {
  const lines: string[] = [];
  const log = new EventLog({
    sink: { write: (text) => lines.push(text), close: () => {} },
  });
  const observer = new QuotaObserver(log, new TextMetrics());
  const refuse = (organisation: string) =>
    observer.recordDecision("r1", organisation, {
      kind: "refused",
      basis: QuotaBasis.Account,
      retryAfterMs: 100,
      limitPerS: 5,
      level: 0,
      knownAgeMs: 10,
    });
  for (let index = 0; index < 1_000; index++) refuse("large");
  refuse("small");
  log.close();
  const organisations = lines.join("").match(/organisation=\w+/g);
  assert.equal(organisations, ["organisation=large", "organisation=small"]);
});

test.run();
