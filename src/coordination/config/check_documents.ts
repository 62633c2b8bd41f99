import {
  BASE_SCHEMA,
  OVERLAY_SCHEMA,
  type SiteConfig,
} from "../../protocol/config_schema.ts";
import type {
  JsonPath,
  Problem,
  SourceDocument,
} from "../../protocol/source_document.ts";
import { checkReferences } from "./check_references.ts";
import { mergePatch } from "./merge_patch.ts";

/** Configuration files of the operator. */
export interface ConfigDocuments {
  readonly base: SourceDocument;
  /** Overlays by site. */
  readonly overlays: Readonly<Record<string, SourceDocument>>;
}

/**
 * Checks the base and each site's effective configuration.
 *
 * @param documents Configuration files of the operator.
 * @returns The problems with their positions; empty if the files are valid.
 *
 * @example
 * ```ts ignore
 * const problems = checkDocuments({ base, overlays: { east } });
 * ```
 */
export function checkDocuments(documents: ConfigDocuments): Problem[] {
  const { base, overlays } = documents;
  const baseProblems = checkDocument(base, () => base.check(BASE_SCHEMA));
  if (baseProblems.length > 0) return baseProblems;
  const problems = locateReferenceProblems(
    base,
    base,
    base.value as SiteConfig,
  );
  for (const [site, overlay] of Object.entries(overlays)) {
    problems.push(...checkOverlay(base, site, overlay));
  }
  return problems;
}

function checkDocument(
  document: SourceDocument,
  check: () => Problem[],
): Problem[] {
  return document.problems.length > 0 ? [...document.problems] : check();
}

function checkOverlay(
  base: SourceDocument,
  site: string,
  overlay: SourceDocument,
): Problem[] {
  const overlayProblems = checkDocument(
    overlay,
    () => overlay.check(OVERLAY_SCHEMA),
  );
  if (overlayProblems.length > 0) return overlayProblems;
  const merged = mergePatch(base.value, overlay.value);
  const parsed = BASE_SCHEMA.safeParse(merged);
  if (!parsed.success) {
    return parsed.error.issues.map((issue) => {
      const path = issue.code === "unrecognized_keys"
        ? [...issue.path, issue.keys[0]!] as JsonPath
        : issue.path as JsonPath;
      return overlay.problemAt(
        path,
        `site "${site}": ${path.join(".")}: ${
          issue.code === "unrecognized_keys" ? "unknown field" : issue.message
        }`,
      );
    });
  }
  return locateReferenceProblems(base, overlay, parsed.data);
}

/** Locates problems in the overlay if it has the field, else in the base. */
function locateReferenceProblems(
  base: SourceDocument,
  overlay: SourceDocument,
  config: SiteConfig,
): Problem[] {
  return checkReferences(config).map(({ path, message }) => {
    const document = overlay.has(path) ? overlay : base;
    return document.problemAt(path, message);
  });
}
