import { test } from "uvu";
import * as assert from "uvu/assert";
import { TextMetrics } from "./text_metrics.ts";

test("text() lists counters, gauges and cumulative buckets", () => {
  const metrics = new TextMetrics();
  metrics.count("requests_total", { result: "refused", reason: 'a"b' });
  metrics.count("requests_total", { result: "refused", reason: 'a"b' }, 2);
  metrics.gauge("config_version", () => 7);
  metrics.observe("request_ms", 7);
  metrics.observe("request_ms", 9_000);
  const lines = metrics.text().split("\n");
  assert.equal([lines[0], lines[1], lines[2], lines[3], ...lines.slice(-4)], [
    'sesamepond_requests_total{result="refused",reason="a\\"b"} 3',
    "sesamepond_config_version 7",
    'sesamepond_request_ms_bucket{le="5"} 0',
    'sesamepond_request_ms_bucket{le="10"} 1',
    'sesamepond_request_ms_bucket{le="+Inf"} 2',
    "sesamepond_request_ms_sum 9007.0",
    "sesamepond_request_ms_count 2",
    "",
  ]);
});

test.run();
