/**
 * Decisions about the traffic of a new version of a service.
 *
 * @module
 */
export * from "./decide_step.ts";
export * from "./find_initial.ts";
export * from "./judge_version.ts";
export * from "./rollout_coordinator.ts";
export * from "./rollout_observations.ts";
export * from "./rollout_types.ts";
export * from "./sample_times.ts";
export * from "./share_bounds.ts";
export * from "./step_plan.ts";
export * from "./version_gate.ts";
