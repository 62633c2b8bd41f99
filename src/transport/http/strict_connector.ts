import type { buildConnector as Connector } from "undici";
import { buildConnector } from "./undici_client.ts";

/** Code of a reset that undici does not take for the end of a response. */
const RESET_CODE = "ERR_CONNECTION_RESET";

/**
 * Creates a connector whose connections fail the response that is being read
 * when they are reset. undici takes a reset for the end of a response without a
 * length, which is complete only after an orderly close.
 *
 * @param options Options of undici's connector.
 * @returns The connector, for the option `connect` of a pool.
 *
 * @example
 * ```ts ignore
 * new Pool(origin, { connect: strictConnector({ timeout: 600 }) });
 * ```
 */
export function strictConnector(
  options: Connector.BuildOptions,
): Connector.connector {
  const connect = buildConnector(options);
  return (target, callback) => {
    connect(target, (...result) => {
      // Registered before the client's listener, which checks the code.
      result[1]?.on("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNRESET") error.code = RESET_CODE;
      });
      callback(...result);
    });
  };
}
