import { createServer, type Server } from "node:http";
import type { ServiceImpl } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { Fleet } from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { HEADER_PEER_TOKEN } from "../../protocol/headers.ts";
import { MAX_MESSAGE_BYTES } from "./fleet_client.ts";
import { singleHeader } from "../http/header_filter.ts";
import { closeServer, listen } from "../http/listen.ts";
import { refuseLongBody } from "../http/refuse_further_bytes.ts";
import { SocketMeter } from "../observe/socket_meter.ts";
import type { PeerAuth } from "./peer_auth.ts";

/** Idle timeout of a peer's connection, in ms. */
const IDLE_CONNECTION_MS = 15_000;
/** Status and error of the Connect protocol for a peer without a token. */
const UNAUTHORIZED_STATUS = 401;
const UNKNOWN_PEER = JSON.stringify({
  code: "unauthenticated",
  message: "unknown peer",
});

/**
 * Calls that belong to a caller's request. Their connections carry no other
 * calls.
 */
const REQUEST_CALLS: ReadonlySet<string> = new Set([
  "Claim",
  "CompleteClaim",
  "Settle",
]);

/** Byte counters of a daemon's own traffic. */
export interface ControlMeters {
  /** Membership, configuration, leases and surveys. */
  readonly control: SocketMeter;
  /** Claims and settled outcomes, which grow with the number of requests. */
  readonly requests: SocketMeter;
}

/** Handles the control calls. */
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
  readonly #trackedSockets = new WeakSet<object>();

  /**
   * Creates a server.
   *
   * @param handler Handles the calls.
   * @param auth Authenticates the peers.
   * @param meters Count the bytes of control calls and of calls for requests.
   * @param onRefused Called with the address of an unknown peer.
   */
  constructor(
    handler: FleetHandler,
    auth: PeerAuth,
    meters: ControlMeters = {
      control: new SocketMeter(),
      requests: new SocketMeter(),
    },
    onRefused: (peer: string | undefined) => void = () => {},
  ) {
    const serve = connectNodeAdapter({
      routes: (router) => router.service(Fleet, handler),
      readMaxBytes: MAX_MESSAGE_BYTES,
      acceptCompression: [],
      grpc: false,
      grpcWeb: false,
    });
    this.#server = createServer(
      { keepAliveTimeout: IDLE_CONNECTION_MS },
      (request, response) => {
        const token = singleHeader(request.headers, HEADER_PEER_TOKEN);
        if (auth.verify(token, Date.now()) !== undefined) {
          return serve(request, response);
        }
        // Before its message is read, which may take all memory.
        onRefused(request.socket.remoteAddress);
        refuseLongBody(request, response);
        response.writeHead(UNAUTHORIZED_STATUS, {
          "content-type": "application/json",
        }).end(UNKNOWN_PEER);
      },
    );
    this.#server.on("request", (request) => {
      const { socket, url } = request;
      if (this.#trackedSockets.has(socket)) return;
      this.#trackedSockets.add(socket);
      const isControl = !REQUEST_CALLS.has(url?.split("/").at(-1) ?? "");
      (isControl ? meters.control : meters.requests).track(socket);
    });
  }

  /**
   * Starts to listen on a port.
   *
   * @param host IP address.
   * @param port Port; 0 for any free one.
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
