import { Delivery } from "../../protocol/config_schema.ts";
import { type ChangedField, type Finding, FindingKind } from "./finding.ts";
import { PathScope, type RequestClass } from "./request_classes.ts";

/**
 * Formats a finding as "file:line:column: path: kind: message [sites]".
 *
 * @param finding The finding.
 * @returns One line.
 *
 * @example
 * ```ts ignore
 * formatFinding(finding); // "base.jsonc:9:5: services.old: service-without-route: ..."
 * ```
 */
export function formatFinding(finding: Finding): string {
  const { file, line, column, path, kind, sites } = finding;
  const parts = [
    `${file}:${line}:${column}`,
    ...path.length === 0 ? [] : [path.join(".")],
    kind,
    describe(finding),
  ];
  const suffix = sites.length === 0 ? "" : ` [${sites.join(", ")}]`;
  return parts.join(": ") + suffix;
}

/**
 * Formats a class of requests as "METHODS PATH".
 *
 * @param request The class.
 * @returns The text; "/a/..." stands for the paths below "/a".
 *
 * @example
 * ```ts
 * formatRequest({ methods: ["GET"], path: "/a", scope: PathScope.Below }); // "GET /a/..."
 * ```
 */
export function formatRequest(request: RequestClass): string {
  const { methods, path, scope } = request;
  const folder = path.endsWith("/") ? path : `${path}/`;
  const text = methods.join(",");
  switch (scope) {
    case PathScope.Prefix:
      return `${text} ${path}`;
    case PathScope.Exact:
      return `${text} ${path} exactly`;
    case PathScope.Below:
      return `${text} ${folder}...`;
  }
}

function describe(finding: Finding): string {
  switch (finding.kind) {
    case FindingKind.Invalid:
      return finding.message;
    case FindingKind.RouteWithoutMethods:
      return `route "${finding.route}" matches no request: its list of methods is empty`;
    case FindingKind.UnmatchablePrefix:
      return `route "${finding.route}" matches no request: a path cannot begin with ${
        JSON.stringify(finding.pathPrefix)
      }`;
    case FindingKind.ServiceWithoutRoute:
      return `service "${finding.service}" gets no request: no route leads to it`;
    case FindingKind.ServiceWithoutCaller:
      return `service "${finding.service}" gets no request: it approves no caller`;
    case FindingKind.CallerWithoutApproval:
      return `caller "${finding.caller}" can send no request: no service approves it`;
    case FindingKind.DuplicateApproval:
      return `service "${finding.service}" approves caller "${finding.caller}" more than once`;
    case FindingKind.RemovalOfAbsent:
      return "the overlay removes a field that the base does not contain";
    case FindingKind.ProbeOutlastsRequests:
      return `a probe of service "${finding.service}" may take ${finding.probeTimeoutMs} ms, a request only ${finding.timeoutMs} ms`;
    case FindingKind.RankWithoutShare:
      return `route "${finding.route}" has rank ${finding.rank}, of which service "${finding.service}" guarantees no share`;
    case FindingKind.NoBodyAllowed:
      return `route "${finding.route}" allows ${
        finding.methods.join(", ")
      }, but service "${finding.service}" allows bodies of 0 bytes only`;
    case FindingKind.ResourceAdded:
      return `${finding.resource} is new`;
    case FindingKind.ResourceRemoved:
      return `${finding.resource} is removed`;
    case FindingKind.ResourceChanged:
      return `${finding.resource} changes: ${
        finding.fields.map(formatField).join("; ")
      }`;
    case FindingKind.AccessGained:
      return `caller "${finding.caller}" gains access to service "${finding.service}": ${
        formatRequests(finding.requests)
      }`;
    case FindingKind.AccessLost:
      return `caller "${finding.caller}" loses access to service "${finding.service}": ${
        formatRequests(finding.requests)
      }`;
    case FindingKind.CredentialAdded:
      return `the token with digest ${finding.digest} now belongs to caller "${finding.caller}"`;
    case FindingKind.CredentialRemoved:
      return `the token with digest ${finding.digest} no longer belongs to caller "${finding.caller}"`;
    case FindingKind.LimitLowered:
      return `${finding.limit} is lowered from ${finding.before} to ${finding.after} for ${
        formatCallers(finding.callers)
      }`;
    case FindingKind.RankLowered:
      return `route "${finding.route}" is lowered from rank ${finding.before} to ${finding.after} for ${
        formatCallers(finding.callers)
      }`;
    case FindingKind.DeliveryChanged:
      return `requests to service "${finding.service}" ${
        finding.after === Delivery.AtMostOnce
          ? "now need an idempotency key"
          : "may now run more than once"
      }, for ${formatCallers(finding.callers)}`;
    case FindingKind.TrafficMoved:
      return `requests move from service "${finding.from}" to ${
        finding.to === undefined ? "none" : `service "${finding.to}"`
      }: ${formatRequests(finding.requests)}`;
  }
}

function formatRequests(requests: readonly RequestClass[]): string {
  return requests.map(formatRequest).join("; ");
}

function formatCallers(callers: readonly string[]): string {
  if (callers.length === 0) return "no caller";
  return callers.length === 1
    ? `caller ${callers[0]}`
    : `callers ${callers.join(", ")}`;
}

function formatField({ field, before, after }: ChangedField): string {
  const format = (value: ChangedField["before"]) =>
    value === undefined ? "absent" : JSON.stringify(value);
  return `${field} ${format(before)} -> ${format(after)}`;
}
