import { compileSite } from "../../coordination/config/compile_site.ts";
import { canonicalJson } from "../../protocol/canonical_json.ts";
import { FailureKind, StepError } from "../../protocol/step_error.ts";
import { ConfigSnapshot } from "../../state/config_snapshot.ts";
import type { ConfigSource } from "../../state/resource_set.ts";
import {
  findAccessDifferences,
  findCredentialDifferences,
} from "./access_differences.ts";
import type { Finding } from "./finding.ts";
import { findLimitDifferences } from "./limit_differences.ts";
import { routeClasses } from "./request_classes.ts";
import { findResourceDifferences } from "./resource_differences.ts";
import type { SiteView } from "./site_view.ts";
import { findTrafficDifferences } from "./traffic_differences.ts";

/**
 * Finds the differences of a site from the version in force, by resource and by
 * effect.
 *
 * @param inForce Source of the version in force.
 * @param view The site's compiled configuration of the new version.
 * @returns The findings.
 * @throws {StepError} If the version in force does not compile for the site.
 *
 * @example
 * ```ts ignore
 * findDifferences(resources.toSource(), view);
 * ```
 */
export function findDifferences(
  inForce: ConfigSource,
  view: SiteView,
): Finding[] {
  const compiled = compileSite(inForce, view.site);
  if (compiled.isErr()) {
    throw new StepError(
      FailureKind.Invalid,
      "find-differences",
      `Cannot compare with the version in force: ${compiled.error.message}`,
      { cause: compiled.error },
    );
  }
  const before = compiled.value;
  if (canonicalJson(before) === canonicalJson(view.config)) return [];
  const snapshot = new ConfigSnapshot(0, before);
  const classes = routeClasses(snapshot, view.snapshot);
  return [
    ...findResourceDifferences(before, view),
    ...findAccessDifferences(classes, view),
    ...findCredentialDifferences(before, view),
    ...findLimitDifferences(before, snapshot, view),
    ...findTrafficDifferences(classes, view),
  ];
}
