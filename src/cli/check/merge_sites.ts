import { categoryOf, type Finding, FindingCategory } from "./finding.ts";

const CATEGORIES = Object.values(FindingCategory);

/**
 * Joins findings that differ in their sites only, and sorts them.
 *
 * @param findings The findings.
 * @returns The findings by category, file, line and column.
 *
 * @example
 * ```ts
 * mergeSites([]); // []
 * ```
 */
export function mergeSites(findings: readonly Finding[]): Finding[] {
  const merged = new Map<string, Finding>();
  for (const finding of findings) {
    const key = JSON.stringify({ ...finding, sites: [] });
    const sites = [...merged.get(key)?.sites ?? [], ...finding.sites];
    merged.set(key, { ...finding, sites: [...new Set(sites)].sort() });
  }
  const rank = ({ kind }: Finding) => CATEGORIES.indexOf(categoryOf(kind));
  return [...merged.values()].sort((a, b) =>
    rank(a) - rank(b) || compareText(a.file, b.file) || a.line - b.line ||
    a.column - b.column
  );
}

function compareText(a: string, b: string): number {
  return a === b ? 0 : a < b ? -1 : 1;
}
