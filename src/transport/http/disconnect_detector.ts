import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";

/** What a {@linkcode DisconnectDetector} keeps of a connection. */
interface Connection {
  readonly requests: Set<AbortController>;
  hasRequested: boolean;
}

/** Says whether the process lately stood still. */
export interface StallDetector {
  readonly hasStalled: boolean;
}

/** A caller's request, as far as the caller may leave it. */
export interface CallerRequest {
  /** Aborts as the caller closes the connection. */
  readonly cancel: AbortController;
  /** Ends the watch over the request. */
  readonly done: () => void;
  /**
   * Waits until a close that had come before the request was read is known.
   *
   * @returns Whether the caller is still there.
   */
  readonly isConnected: () => Promise<boolean>;
}

/**
 * Knows which callers of a server have closed their connections.
 *
 * A request may have waited in the system for longer than its caller did: a new
 * connection until it was accepted, and any while the process stood still. The
 * close then lies behind the request, and is read in the turn of the event loop
 * after it.
 *
 * @example
 * ```ts ignore
 * const callers = new CallerWatch(server, loop);
 * const caller = callers.enter(request);
 * if (await caller.isWaitedFor()) await serve(request, caller.cancel.signal);
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
   * @param stalls Says whether the process lately stood still.
   */
  constructor(server: Server, stalls: StallDetector) {
    this.#stalls = stalls;
    server.on("connection", (socket: Socket) => this.#watch(socket));
  }

  /**
   * Takes in a request whose head has just been read.
   *
   * @param request The request.
   * @returns The request as far as its caller may leave it.
   */
  watch(request: IncomingMessage): CallerRequest {
    const { socket } = request;
    const connection = this.#connections.get(socket) ?? this.#watch(socket);
    const cancel = new AbortController();
    if (socket.destroyed || socket.readableEnded) cancel.abort();
    connection.requests.add(cancel);
    const mayBeOld = !connection.hasRequested || this.#stalls.hasStalled;
    connection.hasRequested = true;
    return {
      cancel,
      done: () => connection.requests.delete(cancel),
      isConnected: async () => {
        if (mayBeOld) await waitForNextPoll();
        return !cancel.signal.aborted;
      },
    };
  }

  #watch(socket: Socket): Connection {
    const connection = {
      requests: new Set<AbortController>(),
      hasRequested: false,
    };
    this.#connections.set(socket, connection);
    const leave = () => {
      for (const request of connection.requests) request.abort();
    };
    // A connection that its caller has ended is destroyed turns later.
    socket.once("end", leave);
    socket.once("close", leave);
    return connection;
  }
}

/** Resolves once all connections have been read after the present turn. */
export async function waitForNextPoll(): Promise<void> {
  await nextTurn();
  await nextTurn();
}
