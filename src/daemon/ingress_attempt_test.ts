import { setTimeout as sleep } from "node:timers/promises";
import { create } from "@bufbuild/protobuf";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Choice } from "../coordination/routing/balancer.ts";
import { Endpoint } from "../coordination/routing/endpoint.ts";
import type { Call, Execution } from "../protocol/call.ts";
import {
  type Member,
  MemberSchema,
  MemberState,
  SettleState,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { type AttemptListener, IngressAttempt } from "./ingress_attempt.ts";
import type { Destination } from "./destination.ts";
import type { PeerResponseSink } from "./peer_forwarder.ts";

/** Age from which a call is asked about, in ms. */
const ASKABLE_MS = 110;
const CALL = { id: "r.1" } as Call;

/** A destination whose answers the test gives, and what a caller gets of it. */
class Path {
  readonly seen: string[] = [];
  sink: PeerResponseSink | undefined;
  state = SettleState.UNKNOWN;
  readonly attempt: IngressAttempt;

  constructor() {
    const member = create(MemberSchema, {
      id: "east",
      state: MemberState.ALIVE,
      slots: 1,
    });
    const endpoint = new Endpoint(member, 0);
    this.attempt = new IngressAttempt(
      CALL,
      { endpoint, choice: Choice.Local },
      {
        events: this.#events(),
        options: {
          selfId: "ingress",
          peers: this,
          destination: {} as Destination,
        },
        failuresToEject: 3,
      },
    );
    this.attempt.send();
  }

  execute(_member: Member, _call: Call, sink: PeerResponseSink): Execution {
    this.sink = sink;
    return {
      cancel: () => this.seen.push("cancelled"),
      resume: () => {},
    };
  }

  settle(): Promise<SettleState> {
    return Promise.resolve(this.state);
  }

  #events(): AttemptListener {
    return {
      onAttemptHead: (_, { status }) => this.seen.push(`head ${status}`),
      onAttemptData: () => true,
      onAttemptEnd: () => this.seen.push("end"),
      onAttemptTruncated: () => this.seen.push("cut"),
      onAttemptRefused: (_, { outcome, reason }) =>
        this.seen.push(`${outcome} ${reason}`),
      onEndpointEjected: () => this.seen.push("ejected"),
      onAttemptLost: () => this.seen.push("lost"),
    };
  }
}

test("checkArrival() waits for a call about which nobody answers", async () => {
  const path = new Path();
  await sleep(ASKABLE_MS);
  for (let question = 0; question < 5; question++) {
    await path.attempt.checkArrival();
  }
  path.sink!.onHead({ status: 200, headers: {} });
  path.sink!.onEnd();
  assert.equal(path.seen, ["head 200", "end"]);
});

// Guards against answers that were dropped as they came: a daemon that had been
// held up read first that the call had ended, and then its answer.
test("checkArrival() delivers an answer that comes after the news of its end", async () => {
  const path = new Path();
  await sleep(ASKABLE_MS);
  path.state = SettleState.DONE;
  await path.attempt.checkArrival();
  path.sink!.onHead({ status: 200, headers: {} });
  path.sink!.onEnd();
  assert.equal(path.seen, ["head 200", "end"]);
});

test("checkArrival() gives up a call whose end it is told of again", async () => {
  const path = new Path();
  await sleep(ASKABLE_MS);
  path.state = SettleState.DONE;
  await path.attempt.checkArrival();
  await path.attempt.checkArrival();
  assert.equal(path.seen, ["cancelled", "unknown peer-failed"]);
});

test.run();
