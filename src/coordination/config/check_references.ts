import type { SiteConfig } from "../../protocol/config_schema.ts";
import type { JsonPath } from "../../protocol/source_document.ts";

/** A violated rule between resources, with the path of the field. */
export interface ReferenceProblem {
  readonly path: JsonPath;
  readonly message: string;
}

/**
 * Checks the rules between the resources of a site's configuration.
 *
 * @param config A configuration that passed its schema.
 * @returns Problems: dangling references, duplicate matches, shared tokens.
 *
 * @example
 * ```ts
 * checkReferences({ services: {}, routes: {}, callers: {} }); // []
 * ```
 */
export function checkReferences(config: SiteConfig): ReferenceProblem[] {
  return [
    ...checkRoutes(config),
    ...checkApprovals(config),
    ...checkCredentials(config),
  ];
}

function checkRoutes(config: SiteConfig): ReferenceProblem[] {
  const problems: ReferenceProblem[] = [];
  const routeByMatch = new Map<string, string>();
  for (const [name, route] of Object.entries(config.routes)) {
    const path = ["routes", name];
    if (!Object.hasOwn(config.services, route.service)) {
      problems.push({
        path: [...path, "service"],
        message: `route "${name}" points at unknown service "${route.service}"`,
      });
    }
    for (const method of route.methods ?? ["*"]) {
      const match = `${method} ${route.pathPrefix}`;
      const other = routeByMatch.get(match);
      if (other !== undefined) {
        problems.push({
          path: [...path, "pathPrefix"],
          message: `route "${name}" matches the same requests as "${other}"`,
        });
      }
      routeByMatch.set(match, name);
    }
  }
  return problems;
}

function checkApprovals(config: SiteConfig): ReferenceProblem[] {
  return Object.entries(config.services).flatMap(([name, service]) =>
    service.approvedCallers.flatMap((caller, index) =>
      !Object.hasOwn(config.callers, caller)
        ? [{
          path: ["services", name, "approvedCallers", index],
          message: `service "${name}" approves unknown caller "${caller}"`,
        }]
        : []
    )
  );
}

function checkCredentials(config: SiteConfig): ReferenceProblem[] {
  const problems: ReferenceProblem[] = [];
  const callerByDigest = new Map<string, string>();
  for (const [name, caller] of Object.entries(config.callers)) {
    for (const [index, digest] of caller.tokenDigests.entries()) {
      const other = callerByDigest.get(digest);
      if (other !== undefined) {
        problems.push({
          path: ["callers", name, "tokenDigests", index],
          message: `callers "${name}" and "${other}" share a credential`,
        });
      }
      callerByDigest.set(digest, name);
    }
  }
  return problems;
}
