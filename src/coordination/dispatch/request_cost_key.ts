/** Segments of a path, and characters of a segment, that distinguish costs. */
const MAX_SEGMENTS = 4;
const MAX_SEGMENT_LENGTH = 24;
/** Bodies whose sizes differ by less than this factor have the same key. */
const BODY_SIZE_RATIO = 4;
const IDENTIFIER = /\d/;

/**
 * Names under which the cost of a request is looked up, the coarsest first. The
 * first is the name of its route.
 */
export type RequestCostKey = readonly string[];

/** What can be seen of a request before it runs. */
export interface CostedRequest {
  readonly route: string;
  readonly method: string;
  /** Path with the query. */
  readonly path: string;
  readonly body: { readonly length: number } | undefined;
  readonly organisation?: string | undefined;
  readonly isSubcall?: boolean | undefined;
}

/**
 * Returns the key of a request's cost: its route, then also its method, its
 * body's size and whether it is a call of a running request, then its path
 * without identifiers, then its organisation.
 *
 * @param request The request.
 * @returns The key.
 *
 * @example
 * ```ts
 * costKeyOf({ route: "r", method: "GET", path: "/a/17?b", body: undefined });
 * // ["r", "r GET  0", "r GET  0 /a/#"]
 * ```
 */
export function costKeyOf(request: CostedRequest): RequestCostKey {
  const { route, method, organisation } = request;
  const size = request.body === undefined || request.body.length === 0
    ? 0
    : 1 + Math.floor(Math.log(request.body.length) / Math.log(BODY_SIZE_RATIO));
  const shape = `${route} ${method} ${request.isSubcall ? "s" : ""} ${size}`;
  const path = `${shape} ${generalizePath(request.path)}`;
  return organisation === undefined
    ? [route, shape, path]
    : [route, shape, path, `${path} ${organisation}`];
}

function generalizePath(path: string): string {
  const query = path.indexOf("?");
  const segments = (query < 0 ? path : path.slice(0, query))
    .split("/", MAX_SEGMENTS + 1);
  return segments
    .map((segment) =>
      IDENTIFIER.test(segment) ? "#" : segment.slice(0, MAX_SEGMENT_LENGTH)
    )
    .join("/");
}
