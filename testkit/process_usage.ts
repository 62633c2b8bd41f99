import { readdirSync, readFileSync } from "node:fs";

/** Default period at which the usage of a process is sampled, in ms. */
const SAMPLE_PERIOD_MS = 10;
const KIB_PER_MIB = 1024;

/**
 * Samples the memory and the descriptors of another process.
 *
 * @example
 * ```ts ignore
 * const usage = new ProcessUsage(daemon.pid);
 * usage.stop();
 * ```
 */
export class ProcessUsage {
  /** Largest anonymous resident memory, in MiB; the heap's limit omits buffers. */
  maxAnonymousMib = 0;
  /** Most descriptors that were open at the same time. */
  maxDescriptors = 0;
  readonly #pid: number;
  readonly #timer: NodeJS.Timeout;

  /** Starts to sample a process, with a period in ms. */
  constructor(pid: number, periodMs = SAMPLE_PERIOD_MS) {
    this.#pid = pid;
    this.#sample();
    this.#timer = setInterval(() => this.#sample(), periodMs);
  }

  /** Ends the sampling. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #sample(): void {
    try {
      const status = readFileSync(`/proc/${this.#pid}/status`, "utf8");
      const kib = Number(/^RssAnon:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
      const { length } = readdirSync(`/proc/${this.#pid}/fd`);
      this.maxAnonymousMib = Math.max(this.maxAnonymousMib, kib / KIB_PER_MIB);
      this.maxDescriptors = Math.max(this.maxDescriptors, length);
    } catch {
      // The process has ended, which the test checks.
      this.stop();
    }
  }
}
