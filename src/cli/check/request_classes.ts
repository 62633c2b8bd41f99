import type {
  ConfigSnapshot,
  ResolvedRoute,
} from "../../state/config_snapshot.ts";

/** Methods that a route can name. */
const NAMED_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];
/** Stands for all methods that no route can name. */
const OTHER_METHODS = "other methods";
/** Path segment that no path prefix contains. */
const OTHER_SEGMENT = "\0";

/** Characters that the path of a request never contains (RFC 9112). */
const NOT_IN_PATHS = /[^\x21-\x7e]|[?#]/;

/** Which paths a class of requests includes. */
export enum PathScope {
  /** The path itself and those below it that have no longer prefix. */
  Prefix = "prefix",
  /** The path itself. */
  Exact = "exact",
  /** The paths below it that have no longer prefix. */
  Below = "below",
}

/** Requests that all match the same route. */
export interface RequestClass {
  readonly methods: readonly string[];
  readonly path: string;
  readonly scope: PathScope;
}

/** A class of requests with its routes in two versions. */
export interface RoutedClass {
  readonly request: RequestClass;
  /** Earlier route; `undefined` if none matched. */
  readonly before: ResolvedRoute | undefined;
  /** Later route; `undefined` if none matches. */
  readonly after: ResolvedRoute | undefined;
}

/**
 * Returns whether the path of a request can begin with a prefix.
 *
 * @param pathPrefix The prefix.
 * @returns Whether it has only characters that a path may contain.
 *
 * @example
 * ```ts
 * isPossiblePrefix("/stock?size="); // false
 * ```
 */
export function isPossiblePrefix(pathPrefix: string): boolean {
  return !NOT_IN_PATHS.test(pathPrefix);
}

/**
 * Divides all requests that match a route of either version into classes, each
 * with one route in each version.
 *
 * @param before Snapshot of the earlier version.
 * @param after Snapshot of the later version.
 * @returns The classes, sorted by path.
 *
 * @example
 * ```ts
 * const config = { services: {}, routes: {}, callers: {} };
 * const snapshot = new ConfigSnapshot(1, config);
 * routeClasses(snapshot, snapshot); // []
 * ```
 */
export function routeClasses(
  before: ConfigSnapshot,
  after: ConfigSnapshot,
): RoutedClass[] {
  const prefixes = new Set(
    [...before.routes, ...after.routes].map((route) => route.pathPrefix)
      .filter(isPossiblePrefix),
  );
  return [...prefixes].sort().flatMap((prefix) => {
    const route = (path: string, scope: PathScope) =>
      groupMethods(path, { before, after }, { path: prefix, scope });
    const exact = route(prefix, PathScope.Exact);
    const folder = prefix.endsWith("/") ? prefix : `${prefix}/`;
    // The paths below belong to the longer prefix if that one exists too.
    if (folder !== prefix && prefixes.has(folder)) return exact;
    return joinScopes(exact, route(folder + OTHER_SEGMENT, PathScope.Below));
  });
}

/** Finds the routes of a path for each method; joins methods that agree. */
function groupMethods(
  path: string,
  snapshots: { before: ConfigSnapshot; after: ConfigSnapshot },
  request: { path: string; scope: PathScope },
): RoutedClass[] {
  const classes = new Map<string, RoutedClass & { methods: string[] }>();
  for (const method of [...NAMED_METHODS, OTHER_METHODS]) {
    const before = snapshots.before.findRoute(method, path);
    const after = snapshots.after.findRoute(method, path);
    if (before === undefined && after === undefined) continue;
    const key = JSON.stringify([before?.name, after?.name]);
    const known = classes.get(key);
    if (known !== undefined) {
      known.methods.push(method);
      continue;
    }
    const methods = [method];
    classes.set(key, {
      methods,
      request: { methods, ...request },
      before,
      after,
    });
  }
  return [...classes.values()].map(({ request, before, after }) => ({
    request,
    before,
    after,
  }));
}

/** Joins the classes of a path and of the paths below it where they agree. */
function joinScopes(
  exact: readonly RoutedClass[],
  below: readonly RoutedClass[],
): RoutedClass[] {
  const keyOf = ({ request, before, after }: RoutedClass) =>
    JSON.stringify([request.methods, before?.name, after?.name]);
  const exactKeys = new Set(exact.map(keyOf));
  const belowKeys = new Set(below.map(keyOf));
  return [
    ...exact.map((entry) =>
      belowKeys.has(keyOf(entry))
        ? { ...entry, request: { ...entry.request, scope: PathScope.Prefix } }
        : entry
    ),
    ...below.filter((entry) => !exactKeys.has(keyOf(entry))),
  ];
}
