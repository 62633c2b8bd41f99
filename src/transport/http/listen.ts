import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import {
  FailureKind,
  messageOf,
  StepError,
} from "../../protocol/step_error.ts";

/**
 * Opens a server's port.
 *
 * @param server The server.
 * @param host IP address.
 * @param port Port; 0 for any.
 * @returns The port.
 * @throws {StepError} If the port can not be opened.
 *
 * @example
 * ```ts ignore
 * const port = await listen(server, "127.0.0.1", 0);
 * ```
 */
export function listen(
  server: Server,
  host: string,
  port: number,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", (error) =>
      reject(
        new StepError(
          FailureKind.Unavailable,
          "listen",
          `Cannot listen on ${host}:${port}: ${messageOf(error)}`,
        ),
      ));
    server.listen(port, host, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/**
 * Closes a server and what is open on it.
 *
 * @param server The server.
 * @returns Once all connections are closed.
 *
 * @example
 * ```ts ignore
 * await closeServer(server);
 * ```
 */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    // An error here says that the port is closed already.
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
