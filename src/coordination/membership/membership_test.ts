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

/** A daemon beside a backend server that takes work. */
function membershipOf(id: string): Membership {
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

// Guards against calls to a daemon that was stopping: a suspicion took the
// place of its state, and a suspected member still gets work.
test("updateSelf() ends work for a member that leaves, also once it is suspected", () => {
  const leaving = membershipOf("a");
  const other = membershipOf("b");
  const now = { wallMs: 0, monotonicMs: 0 };
  other.receive([leaving.self], now);
  const before = canTakeWork(other.table.get("a")!);
  leaving.updateSelf({ state: MemberState.DRAINING }, 0);
  // The backend server is fine, and says so while its daemon stops.
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
