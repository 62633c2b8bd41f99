import { type ChildProcess, spawn } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";

/** Events of `perf stat`; other load on the machine does not affect them. */
const EVENTS = {
  instructions: "instructions:u",
  calls: "raw_syscalls:sys_enter",
};
const NS_PER_MS = 1e6;
const PER_MILLION = 1e-6;
const KB_PER_MB = 1_024;
/** Time for `perf` to attach to the processes, in ms. */
const ATTACH_MS = 300;

/** Resource usage of processes during a measurement. */
export interface Usage {
  /** CPU time, in ms. */
  readonly cpuMs: number;
  /** Instructions in user space, in millions; NaN without `perf`. */
  readonly instructionsM: number;
  /** System calls; NaN without `perf`. */
  readonly calls: number;
}

/**
 * Measures the resource usage of processes until it is stopped.
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
      // Without `perf`, its figures are NaN.
      this.#perf.once("error", () => resolve());
    });
  }

  /**
   * Starts a measurement.
   *
   * @param pids Ids of the processes.
   * @returns The probe, once `perf` has had time to attach.
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
      instructionsM: this.#countOf(EVENTS.instructions) * PER_MILLION,
      calls: this.#countOf(EVENTS.calls),
    };
  }

  /** Returns the CPU time of all threads so far, in ms. */
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

  #countOf(event: string): number {
    const line = this.#report.split("\n").find((row) => row.includes(event));
    return Number(line?.split(",")[0] ?? NaN);
  }
}

/**
 * Reads the peak resident memory of a process.
 *
 * @param pid Id of the process.
 * @returns The peak, in MB.
 */
export function readPeakMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const [, peakKb] = /^VmHWM:\s*(\d+)/m.exec(status)!;
  return Math.round(Number(peakKb) / KB_PER_MB);
}
