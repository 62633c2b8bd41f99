import { err, ok, type Result } from "neverthrow";
import type { ConfigDelta } from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import {
  FailureKind,
  messageOf,
  StepError,
} from "../../protocol/step_error.ts";
import { ConfigSnapshot } from "../../state/config_snapshot.ts";
import type { ConfigStore } from "../../state/config_store.ts";
import { ResourceSet } from "../../state/resource_set.ts";
import { compileSite } from "./compile_site.ts";

/** Largest difference that is taken from a peer, in bytes. */
export const MAX_DELTA_BYTES = 32 * 1024 * 1024;

/** A version that passed every check and may be put in force. */
export interface CheckedVersion {
  readonly snapshot: ConfigSnapshot;
  readonly resources: ResourceSet;
}

/**
 * Checks a whole version for a site.
 *
 * @param version The version.
 * @param resources Its resources.
 * @param site The daemon's site.
 * @returns What may be adopted, or why not.
 *
 * @example
 * ```ts
 * checkVersion(1, ResourceSet.empty(), "east").isOk(); // true
 * ```
 */
export function checkVersion(
  version: number,
  resources: ResourceSet,
  site: string,
): Result<CheckedVersion, StepError> {
  return compileSite(resources.toSource(), site).map((config) => ({
    snapshot: new ConfigSnapshot(version, config),
    resources,
  }));
}

/** Where a version came from and what it has to exceed. */
export interface CheckDeltaOptions {
  /** The daemon's site. */
  readonly site: string;
  /** No lower version is adopted, even on an empty store. */
  readonly minVersion: number;
}

/**
 * Decides whether a difference from a peer may be adopted.
 *
 * @param store What is in force.
 * @param delta The difference.
 * @param guard Site and floor.
 * @returns The checked version; `undefined` where there is nothing to do.
 *
 * @example
 * ```ts ignore
 * const checked = checkDelta(store, delta, { site: "east", floorVersion: 3 });
 * ```
 */
export function checkDelta(
  store: ConfigStore,
  delta: ConfigDelta,
  guard: CheckDeltaOptions,
): Result<CheckedVersion | undefined, StepError> {
  const floor = Math.max(store.version + 1, guard.minVersion);
  if (delta.toVersion < floor) return ok(undefined);
  const start = delta.fromVersion === 0
    ? ResourceSet.empty()
    : delta.fromVersion === store.version
    ? store.resources
    : undefined;
  if (start === undefined) {
    return err(
      new StepError(
        FailureKind.Conflict,
        "adopt-delta",
        `Cannot apply a difference from ${delta.fromVersion}: ${store.version} is in force`,
      ),
    );
  }
  try {
    return checkVersion(delta.toVersion, start.apply(delta), guard.site);
  } catch (error) {
    return err(
      error instanceof StepError ? error : new StepError(
        FailureKind.Invalid,
        "adopt-delta",
        `Cannot apply configuration ${delta.toVersion}: ${messageOf(error)}`,
      ),
    );
  }
}
