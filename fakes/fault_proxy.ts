import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

const MS_PER_S = 1_000;

/** A fault that a proxy applies to its connections. */
export type Fault =
  | { readonly kind: "none" }
  /** Forwards bytes after a delay, in ms. */
  | { readonly kind: "delay"; readonly delayMs: number }
  /** Forwards bytes after a delay, in ms, at a limited bandwidth. */
  | {
    readonly kind: "slow";
    readonly delayMs: number;
    readonly bytesPerS: number;
  }
  /** Resets the connections that are open when the fault is set. */
  | { readonly kind: "reset" }
  /** Resets new connections and closes open ones. */
  | { readonly kind: "cut" }
  /** Drops all bytes of open and new connections without closing them. */
  | { readonly kind: "silence" }
  /** Drops the target's bytes on open and new connections. */
  | { readonly kind: "one-way" }
  /** Drops all bytes of the connections that are open when the fault is set. */
  | { readonly kind: "silence-open" };

/**
 * Proxies TCP on the loopback address and injects network faults.
 *
 * @example
 * ```ts ignore
 * const proxy = new FaultProxy(7001);
 * const port = await proxy.listen();
 * proxy.set({ kind: "cut" });
 * ```
 */
export class FaultProxy {
  readonly #targetPort: number;
  readonly #targetHost: string;
  readonly #server: Server;
  readonly #connections = new Set<Connection>();
  readonly #linkToTarget: Link = { freeAtMs: 0 };
  readonly #linkToClient: Link = { freeAtMs: 0 };
  /** Number of accepted connections, those reset by a fault included. */
  accepted = 0;
  #fault: Fault = { kind: "none" };
  #matches: (sourceAddress: string) => boolean = () => true;

  /**
   * Creates a proxy.
   *
   * @param targetPort Port that the proxy forwards to.
   * @param targetHost Loopback address that the proxy forwards to.
   */
  constructor(targetPort: number, targetHost = "127.0.0.1") {
    this.#targetPort = targetPort;
    this.#targetHost = targetHost;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /**
   * Opens the port.
   *
   * @param port Port, or 0 for any free one.
   * @param host Loopback address to listen on.
   * @returns The open port.
   */
  listen(port = 0, host = "127.0.0.1"): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(port, host, () => {
        resolve(this.port);
      });
    });
  }

  /** The open port. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Closes the port and all connections. */
  close(): Promise<void> {
    for (const connection of this.#connections) connection.destroy();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  /**
   * Replaces the current fault.
   *
   * @param fault The new fault.
   * @param matches Selects the affected connections; all by default.
   */
  set(
    fault: Fault,
    matches: (sourceAddress: string) => boolean = () => true,
  ): void {
    this.#fault = fault;
    this.#matches = matches;
    const affected = [...this.#connections].filter((connection) =>
      matches(connection.sourceAddress)
    );
    switch (fault.kind) {
      case "cut":
        for (const connection of affected) connection.destroy();
        return;
      case "reset":
        for (const connection of affected) connection.reset();
        return;
      case "silence":
      case "silence-open":
        for (const connection of affected) connection.isSilent = true;
        return;
      case "one-way":
        for (const connection of affected) connection.isTargetSilent = true;
        return;
      case "none":
      case "delay":
      case "slow":
        return;
    }
  }

  #accept(socket: Socket): void {
    this.accepted++;
    const isAffected = this.#matches(socket.remoteAddress ?? "");
    if (this.#fault.kind === "cut" && isAffected) {
      socket.resetAndDestroy();
      return;
    }
    const connection = new Connection(
      socket,
      connect(this.#targetPort, this.#targetHost),
      {
        toTarget: new DelayQueue((bytes) =>
          this.#arrivalMs(this.#linkToTarget, bytes)
        ),
        toClient: new DelayQueue((bytes) =>
          this.#arrivalMs(this.#linkToClient, bytes)
        ),
      },
    );
    connection.isSilent = this.#fault.kind === "silence" && isAffected;
    connection.isTargetSilent = this.#fault.kind === "one-way" && isAffected;
    this.#connections.add(connection);
    connection.onClose(() => this.#connections.delete(connection));
  }

  /** Returns when bytes arrive; all connections share a link's bandwidth. */
  #arrivalMs(link: Link, bytes: number): number {
    const nowMs = performance.now();
    const fault = this.#fault;
    switch (fault.kind) {
      case "delay":
        return nowMs + fault.delayMs;
      case "slow": {
        const sendMs = bytes / fault.bytesPerS * MS_PER_S;
        link.freeAtMs = Math.max(link.freeAtMs, nowMs) + sendMs;
        return link.freeAtMs + fault.delayMs;
      }
      default:
        return nowMs;
    }
  }
}

/** Simulated link that carries one direction of all connections. */
interface Link {
  /** Monotonic time at which all queued bytes are sent, in ms. */
  freeAtMs: number;
}

/** Delays one direction of a connection and keeps its bytes in order. */
class DelayQueue {
  readonly #arrivalMs: (bytes: number) => number;
  readonly #waiting: { readonly dueMs: number; readonly run: () => void }[] =
    [];
  #lastDueMs = 0;

  constructor(arrivalMs: (bytes: number) => number) {
    this.#arrivalMs = arrivalMs;
  }

  /** Runs an action once its bytes arrive and all earlier actions have run. */
  enqueue(bytes: number, run: () => void): void {
    const dueMs = Math.max(this.#lastDueMs, this.#arrivalMs(bytes));
    this.#lastDueMs = dueMs;
    this.#waiting.push({ dueMs, run });
    if (this.#waiting.length === 1) this.#drain();
  }

  #drain(): void {
    for (;;) {
      const next = this.#waiting[0];
      if (next === undefined) return;
      const waitMs = next.dueMs - performance.now();
      if (waitMs > 0) return void setTimeout(() => this.#drain(), waitMs);
      // Removed only after it ran: an action that `run` enqueues must not
      // start a second drain and overtake this one.
      next.run();
      this.#waiting.shift();
    }
  }
}

/** A proxied connection with its two sockets. */
class Connection {
  isSilent = false;
  /** Whether the target's bytes are dropped. */
  isTargetSilent = false;
  readonly sourceAddress: string;
  readonly #client: Socket;
  readonly #target: Socket;

  constructor(
    client: Socket,
    target: Socket,
    queues: { readonly toTarget: DelayQueue; readonly toClient: DelayQueue },
  ) {
    this.sourceAddress = client.remoteAddress ?? "";
    this.#client = client;
    this.#target = target;
    this.#forward(client, target, queues.toTarget);
    this.#forward(target, client, queues.toClient);
  }

  reset(): void {
    this.#client.resetAndDestroy();
    this.#target.resetAndDestroy();
  }

  destroy(): void {
    this.#client.destroy();
    this.#target.destroy();
  }

  onClose(listener: () => void): void {
    this.#client.once("close", listener);
  }

  #forward(from: Socket, to: Socket, queue: DelayQueue): void {
    from.setNoDelay(true);
    from.on("error", () => {});
    from.on("data", (chunk) => {
      if (this.isTargetSilent && from === this.#target) return;
      this.#send(queue, chunk.length, () => to.write(chunk));
    });
    // A silent connection does not forward the close either.
    from.on("close", () => this.#send(queue, 0, () => to.destroy()));
  }

  #send(queue: DelayQueue, bytes: number, run: () => void): void {
    if (this.isSilent) return;
    queue.enqueue(bytes, () => {
      if (!this.isSilent) run();
    });
  }
}
