import {
  canonicalJson,
  isJsonObject,
  type Json,
} from "../../protocol/canonical_json.ts";
import type { SiteConfig } from "../../protocol/config_schema.ts";
import type { JsonPath } from "../../protocol/source_document.ts";
import { type ChangedField, type Finding, FindingKind } from "./finding.ts";
import type { SiteView } from "./site_view.ts";

const SECTIONS = ["services", "routes", "callers"] as const;

/**
 * Finds the resources of a site that differ from an earlier version.
 *
 * @param before The site's compiled configuration of the earlier version.
 * @param after The site's compiled configuration of the later version.
 * @returns The findings: resources added, changed and removed.
 *
 * @example
 * ```ts ignore
 * findResourceDifferences(inForce, view);
 * ```
 */
export function findResourceDifferences(
  before: SiteConfig,
  after: SiteView,
): Finding[] {
  return SECTIONS.flatMap((section) => {
    const earlier = new Map<string, Json>(Object.entries(before[section]));
    const later = new Map<string, Json>(Object.entries(after.config[section]));
    const names = new Set([...earlier.keys(), ...later.keys()]);
    return [...names].flatMap((name) =>
      compareResource(after, [section, name], {
        before: earlier.get(name),
        after: later.get(name),
      })
    );
  });
}

function compareResource(
  view: SiteView,
  path: JsonPath,
  bodies: { before: Json | undefined; after: Json | undefined },
): Finding[] {
  const resource = path.join(".");
  if (bodies.before === undefined) {
    return [view.find(path, { kind: FindingKind.ResourceAdded, resource })];
  }
  if (bodies.after === undefined) {
    return [view.find(path, { kind: FindingKind.ResourceRemoved, resource })];
  }
  const fields = listChangedFields(bodies.before, bodies.after, []);
  if (fields.length === 0) return [];
  const detail = {
    kind: FindingKind.ResourceChanged,
    resource,
    fields,
  } as const;
  // An overlay may contain the resource although the change is in the base.
  const position = view.locate([...path, ...fields[0]!.field.split(".")]);
  return [{ ...detail, ...position, path, sites: [view.site] }];
}

function listChangedFields(
  before: Json | undefined,
  after: Json | undefined,
  path: readonly string[],
): ChangedField[] {
  if (isJsonObject(before) && isJsonObject(after)) {
    const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
    return [...keys].flatMap((key) =>
      listChangedFields(before[key], after[key], [...path, key])
    );
  }
  const isSame = before !== undefined && after !== undefined &&
    canonicalJson(before) === canonicalJson(after);
  if (isSame || (before === undefined && after === undefined)) return [];
  return [{ field: path.join("."), before, after }];
}
