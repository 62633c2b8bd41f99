import { err, ok, type Result } from "neverthrow";
import { BASE_SCHEMA, type SiteConfig } from "../../protocol/config_schema.ts";
import type { Json } from "../../protocol/canonical_json.ts";
import { FailureKind, StepError } from "../../protocol/step_error.ts";
import type { ConfigSource } from "../../state/resource_set.ts";
import { checkReferences } from "./check_references.ts";
import { mergePatch } from "./merge_patch.ts";

/**
 * Compiles the effective configuration of one site.
 *
 * A site without an overlay gets the base as it is.
 *
 * @param source Base and overlays.
 * @param site Name of the site, which is its failure domain.
 * @returns The configuration, or an error that names the first problem.
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
  const merged = mergeSections(source.base, source.sites[site] ?? {});
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

/**
 * Lays an overlay over a base.
 *
 * @param base The base document.
 * @param overlay The merge patch of a site.
 * @returns The merged document, unchecked.
 *
 * @example
 * ```ts
 * mergeSections({ routes: { a: {} } }, { routes: { a: null } }); // { routes: {} }
 * ```
 */
export function mergeSections(base: Json, overlay: Json): Json {
  return mergePatch(base, overlay);
}

function invalid(site: string, message: string): StepError {
  return new StepError(
    FailureKind.Invalid,
    "compile-site",
    `Cannot compile site "${site}": ${message}`,
  );
}
