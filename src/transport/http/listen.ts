import type { Server } from "node:http";
import { type AddressInfo, Server as NetServer } from "node:net";
import {
  FailureKind,
  messageOf,
  StepError,
} from "../../protocol/step_error.ts";
import { waitForNextPoll } from "./disconnect_detector.ts";

/** Time limit for accepting the pending connections, in ms. */
const MAX_ACCEPT_MS = 1_000;

/**
 * Starts to listen on a port.
 *
 * @param server The server.
 * @param host IP address.
 * @param port Port; 0 for any free one.
 * @returns The port.
 * @throws {StepError} If the port cannot be opened.
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
 * Closes a server and all of its connections.
 *
 * @param server The server.
 * @returns A promise that resolves once all connections are closed.
 *
 * @example
 * ```ts ignore
 * await closeServer(server);
 * ```
 */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    // An error here means that the port is already closed.
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/**
 * Closes a server's port after accepting the pending connections, which the
 * operating system would otherwise reset. Open connections stay open.
 *
 * @param server The server.
 * @returns A promise that resolves once the port is closed.
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
    // Each event loop iteration accepts one connection at most.
    await waitForNextPoll();
  } while (hasAccepted && performance.now() < untilMs);
  server.off("connection", onConnection);
  // http.Server.close() would also close idle connections, and so break a
  // request that is just arriving on one of them.
  NetServer.prototype.close.call(server);
}
