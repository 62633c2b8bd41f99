import type { Dispatcher } from "undici";
import requestOf from "undici/lib/api/api-request.js";
import buildConnector from "undici/lib/core/connect.js";
import Agent from "undici/lib/dispatcher/agent.js";
import Pool from "undici/lib/dispatcher/pool.js";

// The package's entry also loads fetch, WebSocket and caches, which cost a
// daemon 9 MB of its budget of 64 MB and are not used.
export { Agent, buildConnector, Pool };

/**
 * Sends a request over a dispatcher and collects the answer's head.
 *
 * @param dispatcher Pool or agent.
 * @param options The request.
 * @returns The answer; its body is a stream.
 *
 * @example
 * ```ts ignore
 * const answer = await request(agent, { origin, path: "/", method: "GET" });
 * ```
 */
export function request(
  dispatcher: Dispatcher,
  options: Dispatcher.RequestOptions,
): Promise<Dispatcher.ResponseData> {
  return requestOf.call(dispatcher, options);
}
