import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { LogRateLimiter } from "./log_rate_limiter.ts";

test("allows() is true up to the limit per second and counts the dropped lines", () => {
  const written: string[] = [];
  const log = new EventLog({
    sink: { write: (lines) => written.push(lines), close: () => {} },
  });
  const limit = new LogRateLimiter(log, 2);
  const allowed = [1_000, 1_100, 1_200, 1_900, 2_000].map((nowMs) =>
    limit.allows(nowMs)
  );
  log.close();
  assert.equal({
    allowed,
    dropped: written.join("").match(/event=log-lines-dropped dropped=\d+/g),
  }, {
    allowed: [true, true, false, false, true],
    dropped: ["event=log-lines-dropped dropped=2"],
  });
});

test.run();
