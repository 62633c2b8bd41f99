import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DEFAULT_QUOTA_BOUNDS } from "../coordination/quota/mod.ts";
import { BackendState, type MeshOrganisation } from "../protocol/mesh.ts";
import type { QuotaReport } from "../protocol/quota_message.ts";
import { BackendDirectory } from "../state/backend_directory.ts";
import { RouteTableHolder } from "../state/route_table_holder.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { TextMetrics } from "../transport/observe/text_metrics.ts";
import { type QuotaExchange, QuotaTask } from "./quota_task.ts";

const ORGANISATION: MeshOrganisation = {
  name: "quick-fox",
  keys: ["k"],
  priority: 0,
  limitPerS: 20,
  burst: 5,
};

/** Runs a test with a task whose messages are answered by a function. */
async function withTask(
  instances: readonly string[],
  answer: (report: QuotaReport) => Promise<QuotaExchange>,
  run: (parts: {
    readonly task: QuotaTask;
    readonly sent: readonly QuotaReport[];
    readonly metrics: TextMetrics;
    readonly lines: readonly string[];
  }) => Promise<void>,
): Promise<void> {
  const directory = new BackendDirectory();
  for (const instance of instances) {
    directory.put({
      id: instance,
      instance,
      service: "stock",
      domain: "d",
      peerAddress: "127.0.0.1:1",
      slots: 1,
      state: BackendState.Ready,
      bornAtUnixMs: 1,
      linkMbps: 0,
    });
  }
  const routes = new RouteTableHolder();
  routes.adopt({
    version: 1,
    gaps: [],
    routes: [],
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    organisations: [ORGANISATION],
  }, new Uint8Array());
  const sent: QuotaReport[] = [];
  const lines: string[] = [];
  const log = new EventLog({
    sink: { write: (text) => lines.push(...text.split("\n")), close() {} },
  });
  const metrics = new TextMetrics();
  const task = new QuotaTask({
    instance: "i-0",
    bounds: DEFAULT_QUOTA_BOUNDS,
    directory,
    routes,
    log,
    metrics,
    isDirectoryKnown: () => true,
    viewAgeMs: () => 0,
    send: (_record, report) => {
      sent.push(report);
      return answer(report);
    },
  });
  task.start();
  try {
    await run({ task, sent, metrics, lines });
  } finally {
    task.stop();
    log.close();
  }
}

const never = () => new Promise<QuotaExchange>(() => {});

test("a daemon without others is its own account and sends nothing", () =>
  withTask(["i-0"], never, async ({ task, sent }) => {
    await task.admit("r0", ORGANISATION);
    await sleep(600);
    const decisions = await Promise.all(
      Array.from({ length: 30 }, (_, id) => task.admit(`${id}`, ORGANISATION)),
    );
    const admitted = decisions.filter(({ kind }) => kind === "admitted");
    assert.is(sent.length, 0);
    // An account of 20 per second has filled for 0.6 s, or up to its size.
    assert.ok(
      admitted.length >= 5 && admitted.length <= 24,
      `${admitted.length} admitted`,
    );
  }));

test("requests without a limit are not asked about", () =>
  withTask(["i-1"], never, async ({ task, sent, metrics }) => {
    const decision = await task.admit("r", { ...ORGANISATION, limitPerS: 0 });
    assert.equal(
      { decision, sent: sent.length, totals: metrics.totals().size },
      {
        decision: { kind: "admitted", basis: "unlimited" },
        sent: 0,
        totals: 0,
      },
    );
  }));

test("requests that come together share one message", () =>
  withTask(["i-1"], (report) =>
    Promise.resolve({
      kind: "reply",
      reply: {
        kind: "served",
        epoch: "e",
        stampMs: 1,
        leaseMs: 1_500,
        isLeased: true,
        isMoved: false,
        grants: report.demands.map(({ organisation, waiting }) => ({
          organisation,
          granted: Math.min(waiting, 4),
          advance: 0,
          grantId: 0,
          emptyMs: waiting > 4 ? 400 : 0,
          level: 0,
        })),
      },
    }), async ({ task, sent }) => {
    const first = task.admit("r", ORGANISATION);
    const others = Array.from(
      { length: 9 },
      (_, id) => task.admit(`${id}`, ORGANISATION),
    );
    const kinds = (await Promise.all([first, ...others])).map(({ kind }) =>
      kind
    );
    const waiting = sent.map(({ demands }) => demands[0]?.waiting ?? 0);
    const refused = await task.admit("later", ORGANISATION);
    assert.equal({
      waiting,
      admitted: kinds.filter((kind) => kind === "admitted").length,
      refused: refused.kind,
      sent: sent.length,
    }, { waiting: [1, 9], admitted: 5, refused: "refused", sent: 2 });
  }));

// Guards against requests that each wait for an account that does not answer.
test("a silent account delays a request by 50 ms, and the next ones not at all", () =>
  withTask(["i-1"], never, async ({ task, sent, metrics, lines }) => {
    const startedAtMs = performance.now();
    const first = await task.admit("r1", ORGANISATION);
    const firstMs = performance.now() - startedAtMs;
    const sentBefore = sent.length;
    const next = await Promise.race([
      task.admit("r2", ORGANISATION),
      new Promise<undefined>((resolve) => setImmediate(resolve, undefined)),
    ]);
    await sleep(150);
    assert.equal({
      isFirstLate: firstMs >= 45,
      asked: sent.length - sentBefore,
      bases: [first.basis, next?.basis],
      failures: metrics.totals().get("quota_failures_total"),
      isLogged: lines.some((line) =>
        line.includes("event=quota-account-silent group=0/1 account=i-1")
      ),
    }, {
      isFirstLate: true,
      asked: 0,
      bases: ["bridge", "bridge"],
      failures: 1,
      isLogged: true,
    });
  }));

test.run();
