import { err, ok, type Result } from "neverthrow";
import { BASE_SCHEMA, type SiteConfig } from "../../protocol/config_schema.ts";
import { FailureKind, StepError } from "../../protocol/step_error.ts";
import type { ConfigSource } from "../../state/resource_set.ts";
import { checkReferences } from "./check_references.ts";
import { mergePatch } from "./merge_patch.ts";

/**
 * Compiles the effective configuration of one site.
 *
 * The configuration of a site without an overlay is the base.
 *
 * @param source Base and overlays.
 * @param site Name of the site, which is its failure domain.
 * @returns The configuration, or an error with the first problem.
 *
 * @example
 * ```ts
 * const base = { services: {}, routes: {}, callers: {} };
 * compileSite({ base, sites: {} }, "east").isOk(); // true
 * ```
 */
export function compileSite(
  source: ConfigSource,
  site: string,
): Result<SiteConfig, StepError> {
  const { base, sites } = source;
  // The names of sites may be those of properties that all objects inherit.
  const overlay = Object.hasOwn(sites, site) ? sites[site]! : {};
  const merged = mergePatch(base, overlay);
  const parsed = BASE_SCHEMA.safeParse(merged);
  if (!parsed.success) {
    const issue = parsed.error.issues[0]!;
    return err(invalid(site, `${issue.path.join(".")}: ${issue.message}`));
  }
  const problem = checkReferences(parsed.data)[0];
  return problem === undefined
    ? ok(parsed.data)
    : err(invalid(site, problem.message));
}

function invalid(site: string, message: string): StepError {
  return new StepError(
    FailureKind.Invalid,
    "compile-site",
    `Cannot compile site "${site}": ${message}`,
  );
}
