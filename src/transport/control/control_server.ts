import { createServer, type Server } from "node:http";
import {
  Code,
  ConnectError,
  type Interceptor,
  type ServiceImpl,
} from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { Fleet } from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { HEADER_PEER_TOKEN } from "../../protocol/headers.ts";
import { MAX_MESSAGE_BYTES } from "./fleet_client.ts";
import { closeServer, listen } from "../http/listen.ts";
import { SocketMeter } from "../observe/socket_meter.ts";
import type { PeerAuth } from "./peer_auth.ts";

/** Time for which an idle connection of a peer stays open, in ms. */
const IDLE_CONNECTION_MS = 15_000;

/** What answers the control calls. */
export type FleetHandler = ServiceImpl<typeof Fleet>;

/**
 * Serves the control interface to other daemons and the command line.
 *
 * @example
 * ```ts ignore
 * const server = new ControlServer(handler, auth);
 * await server.listen("127.0.0.1", 7003);
 * ```
 */
export class ControlServer {
  readonly #server: Server;

  /**
   * Creates a server.
   *
   * @param handler Answers the calls.
   * @param auth Checks the callers.
   * @param meter Counts the bytes of all connections.
   */
  constructor(
    handler: FleetHandler,
    auth: PeerAuth,
    meter = new SocketMeter(),
  ) {
    const authenticate: Interceptor = (next) => (request) => {
      const token = request.header.get(HEADER_PEER_TOKEN) ?? undefined;
      if (auth.verify(token, Date.now()) === undefined) {
        throw new ConnectError("unknown peer", Code.Unauthenticated);
      }
      return next(request);
    };
    this.#server = createServer(
      { keepAliveTimeout: IDLE_CONNECTION_MS },
      connectNodeAdapter({
        routes: (router) => router.service(Fleet, handler),
        interceptors: [authenticate],
        readMaxBytes: MAX_MESSAGE_BYTES,
        acceptCompression: [],
        grpc: false,
        grpcWeb: false,
      }),
    );
    this.#server.on("connection", (socket) => meter.track(socket));
  }

  /**
   * Opens the port.
   *
   * @param host IP address.
   * @param port Port; 0 for any.
   * @returns The port.
   */
  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  /** Closes the port and all connections. */
  close(): Promise<void> {
    return closeServer(this.#server);
  }
}
