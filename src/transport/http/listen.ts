import type { Server } from "node:http";
import { type AddressInfo, Server as NetServer } from "node:net";
import {
  FailureKind,
  messageOf,
  StepError,
} from "../../protocol/step_error.ts";
import { waitForNextPoll } from "./disconnect_detector.ts";

/** Longest time for which connections that wait are accepted, in ms. */
const MAX_ACCEPT_MS = 1_000;

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

/**
 * Closes a server's port once the connections that wait have been accepted; the
 * system would reset them. Connections that are open go on.
 *
 * @param server The server.
 * @returns Once the port is closed.
 *
 * @example
 * ```ts ignore
 * await stopAccepting(server);
 * ```
 */
export async function stopAccepting(server: Server): Promise<void> {
  const untilMs = performance.now() + MAX_ACCEPT_MS;
  let hasAccepted = false;
  const onConnection = () => hasAccepted = true;
  server.on("connection", onConnection);
  do {
    hasAccepted = false;
    // A turn of the event loop accepts one connection at most.
    await waitForNextPoll();
  } while (hasAccepted && performance.now() < untilMs);
  server.off("connection", onConnection);
  // The method of http.Server would close unused connections too, and cut a
  // request that is just on its way on one of them.
  NetServer.prototype.close.call(server);
}
