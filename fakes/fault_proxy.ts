import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** What a fault proxy does to its connections. */
export type Fault =
  | { readonly kind: "none" }
  /** Passes bytes on after a time, in ms. */
  | { readonly kind: "delay"; readonly delayMs: number }
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
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
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
      case "silence":
      case "silence-open":
        for (const pair of affected) pair.isSilent = true;
        return;
      case "one-way":
        for (const pair of affected) pair.isDeaf = true;
        return;
      case "none":
      case "delay":
        return;
    }
  }

  #accept(socket: Socket): void {
    const isAffected = this.#matches(socket.remoteAddress ?? "");
    if (this.#fault.kind === "cut" && isAffected) {
      socket.resetAndDestroy();
      return;
    }
    const pair = new Pair(
      socket,
      connect(this.#targetPort, this.#targetHost),
      () => {
        return this.#fault.kind === "delay" ? this.#fault.delayMs : 0;
      },
    );
    pair.isSilent = this.#fault.kind === "silence" && isAffected;
    pair.isDeaf = this.#fault.kind === "one-way" && isAffected;
    this.#pairs.add(pair);
    pair.onClose(() => this.#pairs.delete(pair));
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
  readonly #delayMs: () => number;

  constructor(client: Socket, target: Socket, delayMs: () => number) {
    this.source = client.remoteAddress ?? "";
    this.#client = client;
    this.#target = target;
    this.#delayMs = delayMs;
    this.#pass(client, target);
    this.#pass(target, client);
  }

  destroy(): void {
    this.#client.destroy();
    this.#target.destroy();
  }

  onClose(listener: () => void): void {
    this.#client.once("close", listener);
  }

  #pass(from: Socket, to: Socket): void {
    from.setNoDelay(true);
    from.on("error", () => {});
    from.on("data", (chunk) => {
      if (this.isDeaf && from === this.#target) return;
      this.#after(() => to.write(chunk));
    });
    // A connection that went silent does not carry its end either.
    from.on("close", () => this.#after(() => to.destroy()));
  }

  #after(run: () => void): void {
    if (this.isSilent) return;
    const delayMs = this.#delayMs();
    if (delayMs === 0) return run();
    setTimeout(() => {
      if (!this.isSilent) run();
    }, delayMs);
  }
}
