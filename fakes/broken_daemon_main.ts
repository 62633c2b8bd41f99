import process from "node:process";
import { create } from "@bufbuild/protobuf";
import { ClaimPartition } from "../src/coordination/claims/claim_partition.ts";
import { Membership } from "../src/coordination/membership/membership.ts";
import { Balancer } from "../src/coordination/routing/balancer.ts";
import { ConfigTask } from "../src/daemon/config_task.ts";
import { Daemon } from "../src/daemon/daemon.ts";
import { Destination } from "../src/daemon/destination.ts";
import { IngressCall } from "../src/daemon/ingress_call.ts";
import { runDaemon } from "../src/daemon/run_daemon.ts";
import {
  ClaimResponseSchema,
  ClaimState,
  SettleState,
} from "../src/protocol/gen/sesamepond/v1/fleet_pb.ts";
import { ConfigStore } from "../src/state/config_store.ts";
import { ResourceSet } from "../src/state/resource_set.ts";
import { RequestLedger } from "../src/state/request_ledger.ts";

/** Guarantees that this daemon can violate, by the name of the argument. */
const BREAKAGES: Readonly<Record<string, () => void>> = {
  /** Grants every claim, so that at-most-once requests run repeatedly. */
  claims: () => {
    ClaimPartition.prototype.claim = () => ({
      kind: "answer",
      response: create(ClaimResponseSchema, { state: ClaimState.GRANTED }),
    });
  },
  /** Reports every settled request as not run. */
  ledger: () => {
    RequestLedger.prototype.settle = () => SettleState.NOT_RUN;
  },
  /** Hides its state changes from the fleet and accepts requests until exit. */
  leaving: () => {
    const updateSelf = Membership.prototype.updateSelf;
    Membership.prototype.updateSelf = function (patch, nowMs) {
      const { state: _state, ...rest } = patch;
      return updateSelf.call(this, rest, nowMs);
    };
    Destination.prototype.drain = () => {};
  },
  /** Corrupts the response bodies that callers receive. */
  answers: () => {
    const onData = IngressCall.prototype.onAttemptData;
    IngressCall.prototype.onAttemptData = function (attempt, chunk) {
      return onData.call(this, attempt, chunk.map((byte) => byte ^ 1));
    };
  },
  /** Drops a resource of each configuration version except the first. */
  approved: () => {
    const adopt = ConfigStore.prototype.adopt;
    ConfigStore.prototype.adopt = function (snapshot, resources, nowMs) {
      const changed = snapshot.version === 1
        ? resources
        : ResourceSet.fromEntries(resources.entries().slice(1));
      return adopt.call(this, snapshot, changed, nowMs);
    };
  },
  /** Routes requests to the backend servers of any service. */
  routes: () => {
    const endpointsOf = Balancer.prototype.endpointsOf;
    Balancer.prototype.endpointsOf = function () {
      return ["lookup", "proof"].flatMap((service) =>
        endpointsOf.call(this, service)
      );
    };
  },
  /** Exits immediately instead of a graceful shutdown. */
  stopping: () => {
    Daemon.prototype.stop = () => Promise.resolve(process.exit(0));
  },
  /** Ignores every configuration version after the first. */
  force: () => {
    const adopt = ConfigTask.prototype.adopt;
    ConfigTask.prototype.adopt = function (checked, origin) {
      if (checked.snapshot.version > 1) return false;
      return adopt.call(this, checked, origin);
    };
  },
  /** Adopts versions but always reports version 0, as if it forgot them. */
  versions: () => {
    const version = Object.getOwnPropertyDescriptor(
      ConfigStore.prototype,
      "version",
    )!;
    const adopt = ConfigStore.prototype.adopt;
    ConfigStore.prototype.adopt = function (snapshot, resources, nowMs) {
      if (snapshot.version > version.get!.call(this)) {
        adopt.call(this, snapshot, resources, nowMs);
      }
    };
    Object.defineProperty(ConfigStore.prototype, "version", { get: () => 0 });
  },
};

const [settingsFile, breakage] = process.argv.slice(2);
BREAKAGES[breakage!]!();
process.exitCode = await runDaemon(settingsFile!);
