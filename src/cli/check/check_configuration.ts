import {
  checkDocuments,
  type ConfigDocuments,
} from "../../coordination/config/check_documents.ts";
import { checkVersion } from "../../coordination/config/check_delta.ts";
import { compileSite } from "../../coordination/config/compile_site.ts";
import {
  decodeChunks,
  encodeChunks,
  parseHead,
} from "../../coordination/config/head_record.ts";
import { messageOf } from "../../protocol/step_error.ts";
import type { ResourceSet } from "../../state/resource_set.ts";
import { toResources } from "../config_directory.ts";
import { findContradictions } from "./contradictions.ts";
import { type Finding, FindingKind } from "./finding.ts";
import { mergeSites } from "./merge_sites.ts";
import { findAbsentRemovals, findNeverMatching } from "./never_match.ts";
import { SiteView } from "./site_view.ts";

/** Result of the check of a configuration's files. */
export interface ConfigurationCheck {
  readonly findings: readonly Finding[];
  /** The compiled sites; empty if a daemon would reject the configuration. */
  readonly views: readonly SiteView[];
}

/**
 * Checks a configuration without access to the store.
 *
 * The sites are compiled as daemons do it, from the chunks of the store.
 *
 * @param documents The source files, without syntax errors.
 * @returns The findings and the compiled sites.
 *
 * @example
 * ```ts ignore
 * const { findings } = checkConfiguration({ base, overlays: { east } });
 * ```
 */
export function checkConfiguration(
  documents: ConfigDocuments,
): ConfigurationCheck {
  const problems = checkDocuments(documents);
  if (problems.length > 0) {
    const findings = problems.map((problem): Finding => ({
      kind: FindingKind.Invalid,
      ...problem,
      sites: [],
    }));
    return { findings: mergeSites(findings), views: [] };
  }
  const { rejections, views } = compileSites(documents);
  if (rejections.length > 0) {
    return { findings: mergeSites(rejections), views: [] };
  }
  return {
    findings: mergeSites([
      ...findAbsentRemovals(documents),
      ...findNeverMatching(views),
      ...views.flatMap(findContradictions),
    ]),
    views,
  };
}

/**
 * Compiles the view of a site that may have no overlay.
 *
 * @param documents The source files, which daemons accept.
 * @param site Name of the site.
 * @returns The view.
 * @throws {StepError} If the site does not compile.
 *
 * @example
 * ```ts ignore
 * compileView({ base, overlays: {} }, "east").config.routes;
 * ```
 */
export function compileView(
  documents: ConfigDocuments,
  site: string,
): SiteView {
  const config = compileSite(toResources(documents).toSource(), site);
  if (config.isErr()) throw config.error;
  return new SiteView(documents, site, config.value);
}

/** Compiles each site and, for sites without an overlay, the base. */
function compileSites(
  documents: ConfigDocuments,
): { rejections: Finding[]; views: SiteView[] } {
  const { base, overlays } = documents;
  let resources: ResourceSet;
  try {
    resources = storeAndRead(toResources(documents));
  } catch (error) {
    return { rejections: [reject(base, [], messageOf(error))], views: [] };
  }
  const rejections: Finding[] = [];
  const views: SiteView[] = [];
  const checkedBase = checkVersion(1, resources, "");
  if (checkedBase.isErr()) {
    rejections.push(reject(base, [], checkedBase.error.message));
  }
  const source = resources.toSource();
  for (const [site, overlay] of Object.entries(overlays)) {
    const config = compileSite(source, site);
    if (config.isErr()) {
      rejections.push(reject(overlay, [site], config.error.message));
    } else {
      views.push(new SiteView(documents, site, config.value));
    }
  }
  return { rejections, views };
}

/** Encodes resources for the store and decodes them as a daemon does. */
function storeAndRead(resources: ResourceSet): ResourceSet {
  const chunks = encodeChunks(resources);
  const head = parseHead(JSON.stringify({
    version: 1,
    digest: resources.digest,
    chunks: chunks.map((chunk) => chunk.digest),
    author: "",
    acceptanceId: "",
    acceptedAtMs: 0,
    note: "",
  }));
  return decodeChunks(head, chunks.map((chunk) => chunk.bytes));
}

function reject(
  document: ConfigDocuments["base"],
  sites: readonly string[],
  message: string,
): Finding {
  const problem = document.problemAt([], message);
  return { kind: FindingKind.Invalid, ...problem, sites };
}
