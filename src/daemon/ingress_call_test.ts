import { EventEmitter } from "node:events";
import { IncomingMessage, type ServerResponse } from "node:http";
import { Socket } from "node:net";
import { create } from "@bufbuild/protobuf";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { sampleBase } from "../../testkit/sample_config.ts";
import type { AdmissionLoad } from "../coordination/admission/admission_queue.ts";
import { LatencyTracker } from "../coordination/retry/latency_tracker.ts";
import { RetryBudget } from "../coordination/retry/retry_budget.ts";
import { Balancer } from "../coordination/routing/balancer.ts";
import { Placement } from "../coordination/routing/placement.ts";
import { QuarantineList } from "../coordination/quarantine/quarantine_list.ts";
import type { Call, Execution } from "../protocol/call.ts";
import {
  type Member,
  MemberSchema,
  MemberState,
  SettleState,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { HEADER_OUTCOME, HEADER_REASON } from "../protocol/headers.ts";
import { Random } from "../protocol/random.ts";
import { FailureKind, StepError } from "../protocol/step_error.ts";
import { ConfigSnapshot } from "../state/config_snapshot.ts";
import { DecisionLog } from "../state/decision_log.ts";
import { RequestBody } from "../transport/http/request_body.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { openMetrics } from "../transport/observe/metrics.ts";
import { ResponseWriter } from "./response_writer.ts";
import { monotonicMs } from "./clocks.ts";
import { IngressCall, type IngressContext } from "./ingress_call.ts";
import type { PeerResponseSink } from "./peer_forwarder.ts";
import { ReachabilityChecker } from "./reachability_checker.ts";

const SLOTS = 10;
const FREE = { running: 0, queued: 0, limit: SLOTS };
/** A load at which calls spill over to other failure domains. */
const BUSY = { running: 9, queued: 0, limit: SLOTS };
const ROUTE = new ConfigSnapshot(1, sampleBase()).routes
  .find(({ name }) => name === "order")!;

function createMember(domain: string): Member {
  return create(MemberSchema, {
    id: domain,
    domain,
    service: "order",
    state: MemberState.ALIVE,
    backendReady: true,
    slots: SLOTS,
  });
}

/** Backend servers of several failure domains with simulated network faults. */
class Fleet {
  /** Domains whose connections are accepted and then reset. */
  readonly cut = new Set<string>();
  /** Domains to which open connections lose all data. */
  readonly blackholed = new Set<string>();
  /** Domains to which reachability probes are lost. */
  readonly silent = new Set<string>();
  /** Domain of each call that was sent, in order. */
  readonly sent: string[] = [];
  readonly balancer = new Balancer(
    { id: "ingress", domain: "east" },
    new Random(1),
  );

  constructor(...domains: string[]) {
    for (const domain of domains) {
      this.balancer.update(createMember(domain), 0);
    }
  }

  execute(member: Member, _call: Call, sink: PeerResponseSink): Execution {
    this.sent.push(member.domain);
    if (this.blackholed.has(member.domain)) return NO_EXECUTION;
    queueMicrotask(() => {
      if (this.cut.has(member.domain)) return sink.onConnectionLost(RESET);
      sink.onLoad(member.domain === "east" ? BUSY : FREE);
      sink.onHead({ status: 200, headers: {} });
      sink.onEnd();
    });
    return NO_EXECUTION;
  }

  settle(member: Member): Promise<SettleState> {
    if (this.blackholed.has(member.domain)) {
      return Promise.resolve(SettleState.NOT_RUN);
    }
    return Promise.resolve(
      this.cut.has(member.domain) ? SettleState.UNKNOWN : SettleState.DONE,
    );
  }

  probe(member: Member): Promise<AdmissionLoad | undefined> {
    if (this.silent.has(member.domain)) return new Promise(() => {});
    return Promise.resolve(this.cut.has(member.domain) ? undefined : FREE);
  }

  /** Sends an order; returns the status, outcome and reason of its response. */
  async order(budget = new RetryBudget()): Promise<string> {
    const request = new IncomingMessage(new Socket());
    const result = await RequestBody.read(request, 0, Infinity);
    assert.is(result.kind, "body");
    const response = new RecordedResponse();
    const log = new EventLog({ level: "none", file: "/dev/null" });
    const metrics = openMetrics(undefined, "ingress");
    const context = {
      balancer: this.balancer,
      quarantine: new QuarantineList(),
      random: new Random(1),
      log,
      metrics,
      decisions: new DecisionLog(),
      reachability: new ReachabilityChecker({ peers: this, log, metrics }),
      attempts: {
        selfId: "ingress",
        peers: this,
        destination: { admission: { load: FREE } },
      },
    } as unknown as IngressContext;
    await new Promise<void>((resolve) =>
      new IngressCall({
        requestId: "r",
        route: ROUTE,
        body: (result as { body: RequestBody }).body,
        writer: new ResponseWriter(
          response as unknown as ServerResponse,
          "r",
          { kind: "caller", isDraining: false },
        ),
        response: response as unknown as ServerResponse,
        retryState: { budget, latency: new LatencyTracker() },
        placement: new Placement(this.balancer, {
          name: ROUTE.serviceName,
          service: ROUTE.service,
        }),
        onFinished: resolve,
        template: {
          service: ROUTE.serviceName,
          rank: ROUTE.rank,
          caller: "vendor",
          method: "POST",
          path: "/order",
          headers: [],
          deadlineMs: monotonicMs() + ROUTE.service.timeoutMs,
          depth: 1,
          fingerprint: "",
          contentDigest: "",
          idempotencyKey: "key",
          retries: { left: 3 },
        },
      }, context).start()
    );
    return response.summary;
  }
}

/** Records what is written to a caller. */
class RecordedResponse extends EventEmitter {
  readonly destroyed = false;
  writableEnded = false;
  summary = "";

  writeHead(status: number, headers: Record<string, string>): void {
    const reason = headers[HEADER_REASON];
    this.summary = [status, headers[HEADER_OUTCOME], reason]
      .filter((part) => part !== undefined).join(" ");
  }

  end(): void {
    this.writableEnded = true;
  }
}

const NO_EXECUTION: Execution = { cancel: () => {}, resume: () => {} };
const RESET = new StepError(FailureKind.Ambiguous, "call-peer", "reset", {
  peer: "west",
});

// Guards against orders with an unknown outcome: an order was the first request
// sent to a domain after a partition, before any probe had detected it.
test("an order that would spill over to a partitioned domain is served by its own domain", async () => {
  const fleet = new Fleet("east", "west");
  const answers = [await fleet.order()];
  fleet.cut.add("west");
  // The load of its own domain would make this order spill over.
  answers.push(await fleet.order());
  assert.equal({ answers, sent: fleet.sent }, {
    answers: ["200 ran", "200 ran"],
    sent: ["east", "east"],
  });
});

// Guards against refused calls that never arrived: more connections had failed
// silently than the retry budget covers.
test("a call that did not arrive is sent elsewhere when the retry budget is empty", async () => {
  const fleet = new Fleet("east", "west");
  const budget = new RetryBudget();
  while (budget.trySpend());
  fleet.blackholed.add("east");
  assert.equal({ answer: await fleet.order(budget), sent: fleet.sent }, {
    answer: "200 ran",
    sent: ["east", "west"],
  });
});

test("an order is refused as not run when the only backend server is unreachable", async () => {
  const fleet = new Fleet("west");
  fleet.cut.add("west");
  const answers = [await fleet.order(), await fleet.order()];
  fleet.cut.delete("west");
  answers.push(await fleet.order());
  assert.equal({ answers, sent: fleet.sent }, {
    answers: [
      "502 not-run peer-failed",
      "502 not-run peer-failed",
      "200 ran",
    ],
    sent: ["west"],
  });
});

test("an order does not wait for a lost probe while another backend server is left", async () => {
  const fleet = new Fleet("east", "west");
  fleet.silent.add("east");
  const startedAtMs = monotonicMs();
  const answers = [await fleet.order(), await fleet.order()];
  const isPrompt = monotonicMs() - startedAtMs < ROUTE.service.timeoutMs;
  assert.equal({ answers, sent: fleet.sent, isPrompt }, {
    answers: ["200 ran", "200 ran"],
    sent: ["west", "west"],
    isPrompt: true,
  });
});

test.run();
