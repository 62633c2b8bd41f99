import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { TextMetrics } from "./text_metrics.ts";
import { UsageReport } from "./usage_report.ts";

test("UsageReport logs the growth of counters, summed over their labels", () => {
  const lines: string[] = [];
  const log = new EventLog({
    sink: { write: (text) => lines.push(text), close: () => {} },
  });
  const metrics = new TextMetrics();
  const report = new UsageReport(log, metrics);
  metrics.count("polls_total", { result: "ok" }, 2);
  metrics.count("polls_total", { result: "failed" });
  report.stop();
  metrics.count("sends_total");
  report.stop();
  log.flush();
  const reports = lines.join("").trim().split("\n");
  assert.equal(
    reports.map((line) => ({
      event: /event=(\S+)/.exec(line)?.[1],
      hasUsage: /userMs=\d+ systemMs=\d+ memoryMb=\d+/.test(line),
      growth: line.match(/\w+_total=\d+/g),
    })),
    [
      { event: "daemon-usage", hasUsage: true, growth: ["polls_total=3"] },
      { event: "daemon-usage", hasUsage: true, growth: ["sends_total=1"] },
    ],
  );
});

test.run();
