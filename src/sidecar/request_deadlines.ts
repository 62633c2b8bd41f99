import type { MeshRoute } from "../protocol/mesh.ts";
import type { ForwardRequest } from "./forward_types.ts";

/**
 * Computes the deadlines of requests.
 *
 * A caller that retries sets a shorter timeout than on its first attempt. The
 * difference to the longest timeout of the route counts as time that it has
 * already waited, which brings the objective forward.
 *
 * @example
 * ```ts ignore
 * const times = new RequestDeadlines().compute(route, "1500", arrivedAtMs);
 * ```
 */
export class RequestDeadlines {
  /** Longest timeout that callers have set, by the name of the route. */
  readonly #maxTimeoutMs = new Map<string, number>();

  /**
   * Computes the times until which a response is useful.
   *
   * @param route Route of the request.
   * @param header Timeout that the caller has set, in ms; empty if none.
   * @param arrivedAtMs Monotonic time at which the head was read.
   * @returns Monotonic times.
   */
  compute(
    route: MeshRoute,
    header: string,
    arrivedAtMs: number,
  ): Pick<ForwardRequest, "deadlineMs" | "objectiveAtMs"> {
    const requestedMs = Number(header);
    const hasTimeout = header !== "" && Number.isFinite(requestedMs) &&
      requestedMs > 0;
    const timeoutMs = Math.min(
      hasTimeout ? requestedMs : route.timeoutMs,
      route.timeoutMs,
    );
    const maxTimeoutMs = Math.max(
      timeoutMs,
      this.#maxTimeoutMs.get(route.name) ?? 0,
    );
    this.#maxTimeoutMs.set(route.name, maxTimeoutMs);
    const spentMs = maxTimeoutMs - timeoutMs;
    return {
      deadlineMs: arrivedAtMs + timeoutMs,
      objectiveAtMs: arrivedAtMs + route.objectiveMs - spentMs,
    };
  }
}
