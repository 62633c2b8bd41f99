import type { Server } from "node:net";
import { createHistogram, performance } from "node:perf_hooks";
import type { EventLog } from "./event_log.ts";

/** Interval between two checks of the clock, in ms. */
const CHECK_PERIOD_MS = 250;
/** Delay of a check from which the event loop counts as stalled, in ms. */
const MIN_STALL_MS = 100;
/** New connections in an interval from which a backlog is possible. */
const MIN_ACCEPTED = 8;
/** Share of iterations with a new connection from which others were waiting. */
const BACKLOG_SHARE = 0.8;

const MICROS_PER_MS = 1_000;

/** Options of an {@linkcode EventLoopMonitor}. */
export interface EventLoopMonitorOptions {
  readonly log: EventLog;
  /** Called with the duration of a stall, in ms. */
  readonly onStall?: (delayMs: number) => void;
  /** Called with a server's name when its connections waited to be accepted. */
  readonly onAcceptBacklog?: (server: string) => void;
}

/** Number of a server's new connections since the last check. */
interface AcceptCounter {
  readonly name: string;
  connections: number;
}

/**
 * Detects stalls of the event loop, for lack of processor time or because one
 * task blocks it, and connections that wait to be accepted.
 *
 * The event loop accepts one connection of a server in each iteration, however
 * many are pending, so a server that accepts one in most iterations has others
 * waiting.
 *
 * @example
 * ```ts ignore
 * const monitor = new EventLoopMonitor({ log });
 * monitor.observe("ingress", server);
 * monitor.start();
 * ```
 */
export class EventLoopMonitor {
  readonly #options: EventLoopMonitorOptions;
  readonly #servers: AcceptCounter[] = [];
  readonly #delaysMicros = createHistogram();
  #loopCount = readLoopCount();
  #timer: NodeJS.Timeout | undefined;
  #checkedAtMs = performance.now();
  #wasStalled = false;

  /**
   * Creates a monitor that is not started yet.
   *
   * @param options Log and callbacks.
   */
  constructor(options: EventLoopMonitorOptions) {
    this.#options = options;
  }

  /**
   * Counts the new connections of a server.
   *
   * @param name Name of the server in the log.
   * @param server The server.
   */
  observe(name: string, server: Server): void {
    const counter = { name, connections: 0 };
    this.#servers.push(counter);
    server.on("connection", () => counter.connections++);
  }

  /** Whether the event loop is stalled now or was at the last check. */
  get hasStalled(): boolean {
    return this.#wasStalled || this.#delayMs(performance.now()) >= MIN_STALL_MS;
  }

  /** 99th percentile of the delays of all checks so far, in ms. */
  get delayP99Ms(): number {
    return this.#delaysMicros.percentile(99) / MICROS_PER_MS;
  }

  /** Starts the checks; does not keep the process alive. */
  start(): void {
    this.#checkedAtMs = performance.now();
    this.#timer = setInterval(() => this.#check(), CHECK_PERIOD_MS).unref();
  }

  /** Stops the checks. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #check(): void {
    const nowMs = performance.now();
    const delayMs = this.#delayMs(nowMs);
    this.#checkedAtMs = nowMs;
    this.#wasStalled = delayMs >= MIN_STALL_MS;
    // The histogram accepts only integers from 1.
    this.#delaysMicros.record(Math.max(1, Math.round(delayMs * MICROS_PER_MS)));
    this.#checkAcceptBacklog();
    if (!this.#wasStalled) return;
    this.#options.onStall?.(delayMs);
    this.#options.log.warn("daemon-held-up", { delayMs: Math.round(delayMs) });
  }

  #delayMs(nowMs: number): number {
    return nowMs - this.#checkedAtMs - CHECK_PERIOD_MS;
  }

  #checkAcceptBacklog(): void {
    const previousLoopCount = this.#loopCount;
    this.#loopCount = readLoopCount();
    const turns = this.#loopCount - previousLoopCount;
    for (const server of this.#servers) {
      const { name, connections } = server;
      server.connections = 0;
      if (connections < MIN_ACCEPTED || connections < turns * BACKLOG_SHARE) {
        continue;
      }
      this.#options.onAcceptBacklog?.(name);
      this.#options.log.warn("connections-wait", {
        server: name,
        connections,
        turns,
      });
    }
  }
}

function readLoopCount(): number {
  // Missing in the type declarations of this version of Node.js.
  const timing = performance.nodeTiming as unknown as {
    readonly uvMetricsInfo: { readonly loopCount: number };
  };
  return timing.uvMetricsInfo.loopCount;
}
