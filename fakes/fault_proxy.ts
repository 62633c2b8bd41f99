import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

const MS_PER_S = 1_000;

/** What a fault proxy does to its connections. */
export type Fault =
  | { readonly kind: "none" }
  /** Passes bytes on after a time, in ms. */
  | { readonly kind: "delay"; readonly delayMs: number }
  /** Passes bytes on after a time, in ms, and no faster than a rate. */
  | {
    readonly kind: "slow";
    readonly delayMs: number;
    readonly bytesPerS: number;
  }
  /** Resets the connections that are open now. */
  | { readonly kind: "reset" }
  /** Refuses new connections and breaks open ones. */
  | { readonly kind: "cut" }
  /** Swallows all bytes of open and new connections without closing them. */
  | { readonly kind: "silence" }
  /** Swallows what the target sends, on open and new connections. */
  | { readonly kind: "one-way" }
  /** Swallows all bytes of the connections that are open now. */
  | { readonly kind: "silence-open" };

/**
 * A TCP proxy on the loopback address that brings about network faults.
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
  readonly #pairs = new Set<Pair>();
  readonly #there: Link = { freeAtMs: 0 };
  readonly #back: Link = { freeAtMs: 0 };
  /** Connections that came. */
  accepted = 0;
  #fault: Fault = { kind: "none" };
  #matches: (sourceAddress: string) => boolean = () => true;

  /**
   * Creates a proxy.
   *
   * @param targetPort Port that it leads to.
   * @param targetHost Loopback address that it leads to.
   */
  constructor(targetPort: number, targetHost = "127.0.0.1") {
    this.#targetPort = targetPort;
    this.#targetHost = targetHost;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Opens the port. */
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
    for (const pair of this.#pairs) pair.destroy();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  /** Changes the fault, for connections from some addresses or from all. */
  set(
    fault: Fault,
    matches: (sourceAddress: string) => boolean = () => true,
  ): void {
    this.#fault = fault;
    this.#matches = matches;
    const affected = [...this.#pairs].filter((pair) => matches(pair.source));
    switch (fault.kind) {
      case "cut":
        for (const pair of affected) pair.destroy();
        return;
      case "reset":
        for (const pair of affected) pair.reset();
        return;
      case "silence":
      case "silence-open":
        for (const pair of affected) pair.isSilent = true;
        return;
      case "one-way":
        for (const pair of affected) pair.isDeaf = true;
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
    const pair = new Pair(
      socket,
      connect(this.#targetPort, this.#targetHost),
      {
        there: new Lane((bytes) => this.#arrivalMs(this.#there, bytes)),
        back: new Lane((bytes) => this.#arrivalMs(this.#back, bytes)),
      },
    );
    pair.isSilent = this.#fault.kind === "silence" && isAffected;
    pair.isDeaf = this.#fault.kind === "one-way" && isAffected;
    this.#pairs.add(pair);
    pair.onClose(() => this.#pairs.delete(pair));
  }

  /** All connections share the bandwidth. */
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

/** One direction of all connections together. */
interface Link {
  /** Monotonic time at which it has sent what it was given. */
  freeAtMs: number;
}

/** One direction of a connection; keeps its bytes in order. */
class Lane {
  readonly #arrivalMs: (bytes: number) => number;
  readonly #waiting: { readonly dueMs: number; readonly run: () => void }[] =
    [];
  #lastDueMs = 0;

  constructor(arrivalMs: (bytes: number) => number) {
    this.#arrivalMs = arrivalMs;
  }

  /** Passes something on once all before it has gone. */
  pass(bytes: number, run: () => void): void {
    const dueMs = Math.max(this.#lastDueMs, this.#arrivalMs(bytes));
    this.#lastDueMs = dueMs;
    this.#waiting.push({ dueMs, run });
    if (this.#waiting.length === 1) this.#drain();
  }

  #drain(): void {
    for (;;) {
      const next = this.#waiting[0];
      if (next === undefined) return;
      const leftMs = next.dueMs - performance.now();
      if (leftMs > 0) return void setTimeout(() => this.#drain(), leftMs);
      // Taken off only now: a call from within must not pass this one.
      next.run();
      this.#waiting.shift();
    }
  }
}

/** Both ends of a proxied connection. */
class Pair {
  isSilent = false;
  /** Whether what the target sends is lost. */
  isDeaf = false;
  readonly source: string;
  readonly #client: Socket;
  readonly #target: Socket;

  constructor(
    client: Socket,
    target: Socket,
    lanes: { readonly there: Lane; readonly back: Lane },
  ) {
    this.source = client.remoteAddress ?? "";
    this.#client = client;
    this.#target = target;
    this.#pass(client, target, lanes.there);
    this.#pass(target, client, lanes.back);
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

  #pass(from: Socket, to: Socket, lane: Lane): void {
    from.setNoDelay(true);
    from.on("error", () => {});
    from.on("data", (chunk) => {
      if (this.isDeaf && from === this.#target) return;
      this.#send(lane, chunk.length, () => to.write(chunk));
    });
    // A connection that went silent does not carry its end either.
    from.on("close", () => this.#send(lane, 0, () => to.destroy()));
  }

  #send(lane: Lane, bytes: number, run: () => void): void {
    if (this.isSilent) return;
    lane.pass(bytes, () => {
      if (!this.isSilent) run();
    });
  }
}
