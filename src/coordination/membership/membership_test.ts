import { create } from "@bufbuild/protobuf";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  MemberSchema,
  MemberState,
} from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { Random } from "../../protocol/random.ts";
import { canTakeWork } from "../../state/member_table.ts";
import { Membership } from "./membership.ts";

const TIMING = { periodMs: 200, suspicionMs: 1_200 };

/** Creates the membership of a daemon whose backend server is ready. */
function createMembership(id: string): Membership {
  const self = create(MemberSchema, {
    id,
    domain: "east",
    service: "lookup",
    state: MemberState.ALIVE,
    incarnation: 1,
    backendReady: true,
    slots: 4,
  });
  return new Membership(self, { random: new Random(1), ...TIMING });
}

// Guards against calls to a stopping daemon: SUSPECT replaced its DRAINING
// state, and a suspected member may still receive requests.
test("updateSelf() stops requests to a draining member, even if it is suspected", () => {
  const leaving = createMembership("a");
  const other = createMembership("b");
  const now = { wallMs: 0, monotonicMs: 0 };
  other.receive([leaving.self], now);
  const before = canTakeWork(other.table.get("a")!);
  leaving.updateSelf({ state: MemberState.DRAINING }, 0);
  // The backend server still reports ready while its daemon stops.
  leaving.updateSelf({ backendReady: true }, 0);
  other.receive([leaving.self], now);
  const draining = canTakeWork(other.table.get("a")!);
  other.recordMissedProbe("a", now);
  const suspected = other.table.get("a")!;
  assert.equal(
    { before, draining, state: suspected.state, works: canTakeWork(suspected) },
    {
      before: true,
      draining: false,
      state: MemberState.SUSPECT,
      works: false,
    },
  );
});

test.run();
