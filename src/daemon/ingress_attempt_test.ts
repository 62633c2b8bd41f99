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

/** Age from which the arrival of a call is checked, in ms. */
const CHECKABLE_AGE_MS = 110;
const CALL = { id: "r.1" } as Call;

/** An attempt whose destination the test controls, and the recorded events. */
class ControlledAttempt {
  readonly events: string[] = [];
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
      cancel: () => this.events.push("cancelled"),
      resume: () => {},
    };
  }

  settle(): Promise<SettleState> {
    return Promise.resolve(this.state);
  }

  #events(): AttemptListener {
    return {
      onAttemptHead: (_, { status }) => this.events.push(`head ${status}`),
      onAttemptData: () => true,
      onAttemptEnd: () => this.events.push("end"),
      onAttemptTruncated: () => this.events.push("cut"),
      onAttemptRefused: (_, { outcome, reason }) =>
        this.events.push(`${outcome} ${reason}`),
      onEndpointEjected: () => this.events.push("ejected"),
      onAttemptLost: () => this.events.push("lost"),
    };
  }
}

test("checkArrival() keeps waiting while the state of the call is unknown", async () => {
  const controlled = new ControlledAttempt();
  await sleep(CHECKABLE_AGE_MS);
  for (let check = 0; check < 5; check++) {
    await controlled.attempt.checkArrival();
  }
  controlled.sink!.onHead({ status: 200, headers: {} });
  controlled.sink!.onEnd();
  assert.equal(controlled.events, ["head 200", "end"]);
});

// Guards against dropped responses: after its event loop was blocked, a daemon
// read the report that a call had ended before the call's response.
test("checkArrival() delivers a response that arrives after the report of its end", async () => {
  const controlled = new ControlledAttempt();
  await sleep(CHECKABLE_AGE_MS);
  controlled.state = SettleState.DONE;
  await controlled.attempt.checkArrival();
  controlled.sink!.onHead({ status: 200, headers: {} });
  controlled.sink!.onEnd();
  assert.equal(controlled.events, ["head 200", "end"]);
});

test("checkArrival() cancels a call that is reported as ended twice", async () => {
  const controlled = new ControlledAttempt();
  await sleep(CHECKABLE_AGE_MS);
  controlled.state = SettleState.DONE;
  await controlled.attempt.checkArrival();
  await controlled.attempt.checkArrival();
  assert.equal(controlled.events, ["cancelled", "unknown peer-failed"]);
});

test.run();
