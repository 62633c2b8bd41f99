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

/** Maximum size of a delta from a peer, in bytes. */
export const MAX_DELTA_BYTES = 32 * 1024 * 1024;

/** A version that passed all checks and may be adopted. */
export interface CheckedVersion {
  readonly snapshot: ConfigSnapshot;
  readonly resources: ResourceSet;
}

/**
 * Compiles and checks a whole version for a site.
 *
 * @param version The version.
 * @param resources The resources of the version.
 * @param site The daemon's site.
 * @returns The checked version, or the error of the first failed check.
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

/** Options of {@linkcode checkDelta}. */
export interface CheckDeltaOptions {
  /** The daemon's site. */
  readonly site: string;
  /** Lowest version to adopt, even into an empty store. */
  readonly minVersion: number;
}

/**
 * Checks whether a delta from a peer may be adopted.
 *
 * @param store The current configuration.
 * @param delta The delta.
 * @param options Site and lowest version.
 * @returns The checked version; `undefined` if the delta's version is too low.
 *
 * @example
 * ```ts ignore
 * const checked = checkDelta(store, delta, { site: "east", minVersion: 3 });
 * ```
 */
export function checkDelta(
  store: ConfigStore,
  delta: ConfigDelta,
  options: CheckDeltaOptions,
): Result<CheckedVersion | undefined, StepError> {
  const minVersion = Math.max(store.version + 1, options.minVersion);
  if (delta.toVersion < minVersion) return ok(undefined);
  const startResources = delta.fromVersion === 0
    ? ResourceSet.empty()
    : delta.fromVersion === store.version
    ? store.resources
    : undefined;
  if (startResources === undefined) {
    return err(
      new StepError(
        FailureKind.Conflict,
        "adopt-delta",
        `Cannot apply a delta from version ${delta.fromVersion}: ${store.version} is in force`,
      ),
    );
  }
  try {
    return checkVersion(
      delta.toVersion,
      startResources.apply(delta),
      options.site,
    );
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
