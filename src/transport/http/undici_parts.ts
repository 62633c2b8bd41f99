import type { Dispatcher } from "undici";
import requestOf from "undici/lib/api/api-request.js";
import buildConnector from "undici/lib/core/connect.js";
import Agent from "undici/lib/dispatcher/agent.js";
import Pool from "undici/lib/dispatcher/pool.js";

// undici's entry point also loads fetch, WebSocket and caches, which are unused
// and take 9 MB of a daemon's memory budget of 64 MB.
export { Agent, buildConnector, Pool };

/**
 * Sends a request over a dispatcher and waits for the response's head.
 *
 * @param dispatcher Pool or agent.
 * @param options The request.
 * @returns The response; its body is a stream.
 *
 * @example
 * ```ts ignore
 * const response = await request(agent, { origin, path: "/", method: "GET" });
 * ```
 */
export function request(
  dispatcher: Dispatcher,
  options: Dispatcher.RequestOptions,
): Promise<Dispatcher.ResponseData> {
  return requestOf.call(dispatcher, options);
}
