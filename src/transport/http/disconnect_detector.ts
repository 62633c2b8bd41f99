import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { setImmediate as nextIteration } from "node:timers/promises";
import {
  type CancelController,
  Cancellation,
} from "../../protocol/cancellation.ts";

/** State that a {@linkcode DisconnectDetector} keeps for each connection. */
interface Connection {
  readonly requests: Set<Cancellation>;
  hasRequested: boolean;
}

/** Reports whether the event loop was recently stalled. */
export interface StallDetector {
  readonly hasStalled: boolean;
}

/** A request whose caller is watched for a disconnect. */
export interface CallerRequest {
  /** Aborts when the caller closes the connection. */
  readonly cancel: CancelController;
  /** Stops watching the request. */
  readonly done: () => void;
  /**
   * Waits until a close that arrived before the request was read is detected.
   *
   * @returns Whether the caller is still connected.
   */
  readonly isConnected: () => Promise<boolean>;
}

/**
 * Detects when the callers of a server close their connections.
 *
 * A request may have waited in the operating system for longer than its caller
 * did: on a new connection until it was accepted, and on any connection while
 * the event loop was stalled. The close then follows the request in the socket
 * and is read one iteration of the event loop later.
 *
 * @example
 * ```ts ignore
 * const callers = new DisconnectDetector(server, loop);
 * const caller = callers.watch(request);
 * if (await caller.isConnected()) await serve(request, caller.cancel.signal);
 * caller.done();
 * ```
 */
export class DisconnectDetector {
  readonly #connections = new WeakMap<Socket, Connection>();
  readonly #stalls: StallDetector;

  /**
   * Watches the connections of a server.
   *
   * @param server The server.
   * @param stalls Reports whether the event loop was recently stalled.
   */
  constructor(server: Server, stalls: StallDetector) {
    this.#stalls = stalls;
    server.on("connection", (socket: Socket) => this.#trackConnection(socket));
  }

  /**
   * Starts to watch a request whose head has just been read.
   *
   * @param request The request.
   * @returns The watched request.
   */
  watch(request: IncomingMessage): CallerRequest {
    const { socket } = request;
    const connection = this.#connections.get(socket) ??
      this.#trackConnection(socket);
    const cancel = new Cancellation();
    if (socket.destroyed || socket.readableEnded) cancel.abort();
    connection.requests.add(cancel);
    const mayHaveWaited = !connection.hasRequested || this.#stalls.hasStalled;
    connection.hasRequested = true;
    return {
      cancel,
      done: () => connection.requests.delete(cancel),
      isConnected: async () => {
        if (mayHaveWaited) await waitForNextPoll();
        return !cancel.signal.aborted;
      },
    };
  }

  #trackConnection(socket: Socket): Connection {
    const connection = {
      requests: new Set<Cancellation>(),
      hasRequested: false,
    };
    this.#connections.set(socket, connection);
    const abortRequests = () => {
      for (const request of connection.requests) request.abort();
    };
    // The socket is destroyed several event loop iterations after its end.
    socket.once("end", abortRequests);
    socket.once("close", abortRequests);
    return connection;
  }
}

/** Waits until the event loop has polled all sockets once more. */
export async function waitForNextPoll(): Promise<void> {
  await nextIteration();
  await nextIteration();
}
