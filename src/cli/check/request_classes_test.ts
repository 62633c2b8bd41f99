import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { SiteConfig } from "../../protocol/config_schema.ts";
import { SourceDocument } from "../../protocol/source_document.ts";
import { ConfigSnapshot } from "../../state/config_snapshot.ts";
import { sampleService } from "../../../testkit/sample_config.ts";
import { findAccessDifferences } from "./access_differences.ts";
import { FindingKind } from "./finding.ts";
import {
  PathScope,
  type RequestClass,
  routeClasses,
} from "./request_classes.ts";
import { SiteView } from "./site_view.ts";
import { findTrafficDifferences } from "./traffic_differences.ts";

const PREFIXES = ["/", "/a", "/a/", "/a/b", "/a/b/c/", "/ab"];
const PATHS = [...PREFIXES, "/a/b/c", "/a/c", "/c/d", "/a/b/c/d/e", "/abc"];
const METHODS = ["GET", "POST", "OPTIONS"];
const CALLERS = ["ann", "bob"];

const ROUTE = fc.record({
  pathPrefix: fc.constantFrom(...PREFIXES),
  methods: fc.subarray(["GET", "POST"] as const),
  service: fc.constantFrom("one", "two"),
}, { requiredKeys: ["pathPrefix", "service"] });
const APPROVALS = fc.subarray(CALLERS);

const CONFIG = fc.record({
  approvals: fc.tuple(APPROVALS, APPROVALS),
  routes: fc.dictionary(fc.constantFrom("r1", "r2", "r3", "r4"), ROUTE),
}).map(({ approvals, routes }): SiteConfig => ({
  services: {
    one: sampleService({ approvedCallers: approvals[0] }),
    two: sampleService({ approvedCallers: approvals[1] }),
  },
  routes: routes as SiteConfig["routes"],
  callers: Object.fromEntries(
    CALLERS.map((name, index) => [
      name,
      { tokenDigests: [String(index).repeat(64)], maxRunning: 1 },
    ]),
  ),
}));

/** Returns whether a class includes a request, by its documentation. */
function includes(
  { methods, path, scope }: RequestClass,
  request: { method: string; path: string; prefixes: ReadonlySet<string> },
): boolean {
  const hasMethod = methods.includes(request.method) ||
    (request.method === "OPTIONS" && methods.includes("other methods"));
  const isBelow = (prefix: string) =>
    request.path !== prefix &&
    request.path.startsWith(prefix.endsWith("/") ? prefix : `${prefix}/`);
  const longest = [...request.prefixes]
    .filter((prefix) => request.path === prefix || isBelow(prefix))
    .sort((a, b) => b.length - a.length)[0];
  if (!hasMethod || path !== longest) return false;
  switch (scope) {
    case PathScope.Prefix:
      return true;
    case PathScope.Exact:
      return request.path === path;
    case PathScope.Below:
      return isBelow(path);
  }
}

function mayCall(
  snapshot: ConfigSnapshot,
  request: { method: string; path: string },
  caller: string,
): boolean {
  const route = snapshot.findRoute(request.method, request.path);
  return route !== undefined &&
    snapshot.isApproved(caller, route.serviceName);
}

// Guards against a change of access or of destination that no finding states,
// and against findings about requests that are served as before.
test("the differences state exactly the requests whose access or service changes", () => {
  const document = SourceDocument.parse("base.jsonc", "{}");
  fc.assert(
    fc.property(CONFIG, CONFIG, (configBefore, configAfter) => {
      const before = new ConfigSnapshot(0, configBefore);
      const view = new SiteView(
        { base: document, overlays: {} },
        "east",
        configAfter,
      );
      const classes = routeClasses(before, view.snapshot);
      const access = findAccessDifferences(classes, view);
      const traffic = findTrafficDifferences(classes, view);
      const prefixes = new Set(
        [...before.routes, ...view.snapshot.routes]
          .map((route) => route.pathPrefix),
      );
      for (const method of METHODS) {
        for (const path of PATHS) {
          const request = { method, path, prefixes };
          for (const caller of CALLERS) {
            const stated = access.filter((finding) =>
              "requests" in finding && "caller" in finding &&
              finding.caller === caller &&
              finding.requests.some((entry) => includes(entry, request))
            ).map(({ kind }) => kind);
            const couldCall = mayCall(before, request, caller);
            const canCall = mayCall(view.snapshot, request, caller);
            const expected = couldCall === canCall
              ? []
              : [canCall ? FindingKind.AccessGained : FindingKind.AccessLost];
            assert.equal(stated, expected, `${caller} ${method} ${path}`);
          }
          const from = before.findRoute(method, path)?.serviceName;
          const to = view.snapshot.findRoute(method, path)?.serviceName;
          const moves = traffic.flatMap((finding) =>
            finding.kind === FindingKind.TrafficMoved &&
              finding.requests.some((entry) => includes(entry, request))
              ? [[finding.from, finding.to]]
              : []
          );
          const isMoved = from !== undefined && from !== to;
          assert.equal(moves, isMoved ? [[from, to]] : [], `${method} ${path}`);
        }
      }
    }),
    { seed: 1, numRuns: 500 },
  );
});

test.run();
