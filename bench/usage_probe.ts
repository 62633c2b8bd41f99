import { type ChildProcess, spawn } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";

/** Events of `perf stat`; both hold still on a machine with other load. */
const EVENTS = {
  instructions: "instructions:u",
  calls: "raw_syscalls:sys_enter",
};
const NS_PER_MS = 1e6;
const PER_MILLION = 1e-6;
const KB_PER_MB = 1_024;
/** Time in which `perf` attaches itself to a process, in ms. */
const ATTACH_MS = 300;

/** What processes have used in a time. */
export interface Usage {
  readonly cpuMs: number;
  /** Instructions of the programs, in millions; NaN where `perf` lacks. */
  readonly instructionsM: number;
  /** System calls; NaN where `perf` lacks. */
  readonly calls: number;
}

/**
 * Measures what processes use until it is stopped.
 *
 * @example
 * ```ts ignore
 * const probe = await UsageProbe.start([child.pid]);
 * const { cpuMs } = await probe.stop();
 * ```
 */
export class UsageProbe {
  readonly #pids: readonly number[];
  readonly #perf: ChildProcess;
  readonly #perfEnded: Promise<void>;
  #report = "";
  #cpuMsBefore = 0;

  private constructor(pids: readonly number[]) {
    this.#pids = pids;
    this.#perf = spawn("perf", [
      "stat",
      "-x,",
      "-e",
      Object.values(EVENTS).join(","),
      "-p",
      pids.join(","),
    ], { stdio: ["ignore", "ignore", "pipe"] });
    this.#perf.stderr!.on("data", (chunk) => this.#report += String(chunk));
    this.#perfEnded = new Promise((resolve) => {
      this.#perf.once("close", () => resolve());
      // Without the tool its figures are missing.
      this.#perf.once("error", () => resolve());
    });
  }

  /**
   * Starts to measure.
   *
   * @param pids Ids of the processes.
   * @returns The probe, once it measures.
   */
  static async start(pids: readonly number[]): Promise<UsageProbe> {
    const probe = new UsageProbe(pids);
    await new Promise((resolve) => setTimeout(resolve, ATTACH_MS));
    probe.#cpuMsBefore = probe.#cpuMs();
    return probe;
  }

  /** Ends the measurement and returns the sums over all processes. */
  async stop(): Promise<Usage> {
    const cpuMs = this.#cpuMs() - this.#cpuMsBefore;
    this.#perf.kill("SIGINT");
    await this.#perfEnded;
    return {
      cpuMs,
      instructionsM: this.#counted(EVENTS.instructions) * PER_MILLION,
      calls: this.#counted(EVENTS.calls),
    };
  }

  /** Processor time of all threads so far. */
  #cpuMs(): number {
    let cpuNs = 0;
    for (const pid of this.#pids) {
      for (const thread of readdirSync(`/proc/${pid}/task`)) {
        const path = `/proc/${pid}/task/${thread}/schedstat`;
        cpuNs += Number(readFileSync(path, "utf8").split(" ")[0]);
      }
    }
    return cpuNs / NS_PER_MS;
  }

  #counted(event: string): number {
    const line = this.#report.split("\n").find((one) => one.includes(event));
    return Number(line?.split(",")[0] ?? NaN);
  }
}

/**
 * Reads the most memory that a process has had so far.
 *
 * @param pid Id of the process.
 * @returns Its resident memory, in MB.
 */
export function peakMbOf(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const [, peakKb] = /^VmHWM:\s*(\d+)/m.exec(status)!;
  return Math.round(Number(peakKb) / KB_PER_MB);
}
