import type { Server } from "node:net";
import { createHistogram, performance } from "node:perf_hooks";
import type { EventLog } from "./event_log.ts";

/** Pause between two looks at the clock, in ms. */
const PERIOD_MS = 250;
/** Delay of a look from which on the process counts as held up, in ms. */
const HELD_UP_MS = 100;
/** Connections in a period from which on they may wait to be accepted. */
const MIN_ACCEPTED = 8;
/** Part of the turns with a new connection from which on others waited. */
const BUSY_SHARE = 0.8;

const MICROS_PER_MS = 1_000;

/** Where a {@linkcode EventLoopMonitor} tells what it finds. */
export interface EventLoopMonitorOptions {
  readonly log: EventLog;
  /** Takes in a time for which the process did nothing, in ms. */
  readonly onStall?: (delayMs: number) => void;
  /** Takes in that connections of a server waited to be accepted. */
  readonly onAcceptBacklog?: (server: string) => void;
}

/** New connections of a server since the last look. */
interface Accepted {
  readonly name: string;
  connections: number;
}

/**
 * Notices when the process is held up: it lacks processor time, or one piece of
 * work keeps all others from running; and when connections wait to be accepted.
 *
 * The event loop accepts one connection of a server in each turn, however many
 * wait, so a server that accepts in most turns has others waiting.
 *
 * @example
 * ```ts ignore
 * const watch = new LoopWatch({ log });
 * watch.observe("ingress", server);
 * watch.start();
 * ```
 */
export class EventLoopMonitor {
  readonly #options: EventLoopMonitorOptions;
  readonly #servers: Accepted[] = [];
  readonly #delaysMicros = createHistogram();
  #turns = turnsSoFar();
  #timer: NodeJS.Timeout | undefined;
  #lookedAtMs = performance.now();
  #wasLate = false;

  /**
   * Creates a watch that does not look yet.
   *
   * @param options Log, and what else takes in what is found.
   */
  constructor(options: EventLoopMonitorOptions) {
    this.#options = options;
  }

  /**
   * Counts the connections of a server.
   *
   * @param name Its name in the log.
   * @param server The server.
   */
  observe(name: string, server: Server): void {
    const accepted = { name, connections: 0 };
    this.#servers.push(accepted);
    server.on("connection", () => accepted.connections++);
  }

  /** Whether the process stood still until now or until lately. */
  get hasStalled(): boolean {
    return this.#wasLate || this.#delayMs(performance.now()) >= HELD_UP_MS;
  }

  /** 99th percentile of the delays of all looks so far, in ms. */
  get delayP99Ms(): number {
    return this.#delaysMicros.percentile(99) / MICROS_PER_MS;
  }

  /** Starts to look at the clock; does not keep the process alive. */
  start(): void {
    this.#lookedAtMs = performance.now();
    this.#timer = setInterval(() => this.#look(), PERIOD_MS).unref();
  }

  /** Ends it. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #look(): void {
    const nowMs = performance.now();
    const delayMs = this.#delayMs(nowMs);
    this.#lookedAtMs = nowMs;
    this.#wasLate = delayMs >= HELD_UP_MS;
    // The histogram takes whole numbers from 1.
    this.#delaysMicros.record(Math.max(1, Math.round(delayMs * MICROS_PER_MS)));
    this.#checkAccepted();
    if (!this.#wasLate) return;
    this.#options.onStall?.(delayMs);
    this.#options.log.warn("daemon-held-up", { delayMs: Math.round(delayMs) });
  }

  #delayMs(nowMs: number): number {
    return nowMs - this.#lookedAtMs - PERIOD_MS;
  }

  #checkAccepted(): void {
    const turnsBefore = this.#turns;
    this.#turns = turnsSoFar();
    const turns = this.#turns - turnsBefore;
    for (const server of this.#servers) {
      const { name, connections } = server;
      server.connections = 0;
      if (connections < MIN_ACCEPTED || connections < turns * BUSY_SHARE) {
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

function turnsSoFar(): number {
  // Missing in the type declarations of this version of Node.js.
  const timing = performance.nodeTiming as unknown as {
    readonly uvMetricsInfo: { readonly loopCount: number };
  };
  return timing.uvMetricsInfo.loopCount;
}
