import { create } from "@bufbuild/protobuf";
import {
  CompleteClaimResponseSchema,
  ProbeForResponseSchema,
  PullConfigResponseSchema,
  PushConfigResponseSchema,
  SettleResponseSchema,
  SurveyResponseSchema,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import type { FleetHandler } from "../transport/control/control_server.ts";
import type { ClaimTask } from "./claim_task.ts";
import type { ConfigTask } from "./config_task.ts";
import type { Destination } from "./destination.ts";
import type { GossipTask } from "./gossip_task.ts";
import type { Surveyor } from "./surveyor.ts";

/** The tasks that handle control calls. */
export interface FleetTasks {
  readonly selfId: string;
  readonly domain: string;
  readonly gossip: GossipTask;
  readonly config: ConfigTask;
  readonly claims: ClaimTask;
  readonly destination: Destination;
  readonly surveyor: Surveyor;
}

/**
 * Creates a handler that routes each control call to the task in charge.
 *
 * @param tasks The tasks.
 * @returns The handler for the control server.
 *
 * @example
 * ```ts ignore
 * const server = new ControlServer(createFleetHandler(tasks), auth);
 * ```
 */
export function createFleetHandler(tasks: FleetTasks): FleetHandler {
  const { gossip, config, claims, destination, surveyor } = tasks;
  return {
    exchange: (request) => gossip.onExchange(request),
    sync: (request) => gossip.onSync(request),
    probeFor: async (request) => {
      const reached = await gossip.onProbeFor(request);
      return create(ProbeForResponseSchema, { reached });
    },
    pushConfig: async (request) => {
      const version = await config.onPush(request);
      return create(PushConfigResponseSchema, { version });
    },
    pullConfig: (request) =>
      create(PullConfigResponseSchema, { delta: config.onPull(request) }),
    settle: (request) =>
      create(SettleResponseSchema, {
        state: destination.settle(request.requestId, request),
        memberId: tasks.selfId,
      }),
    claim: (request) => claims.claim(request),
    completeClaim: async (request) => {
      const recorded = await claims.complete(request);
      return create(CompleteClaimResponseSchema, { recorded });
    },
    survey: async (request) => {
      const members = request.domain === ""
        ? [surveyor.describeSelf()]
        : request.domain === tasks.domain
        ? await surveyor.surveyDomain()
        : await surveyor.surveyFleet();
      return create(SurveyResponseSchema, { members });
    },
  };
}
