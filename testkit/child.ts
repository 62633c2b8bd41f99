import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { until } from "./until.ts";

/** Length of the last output of a child that is kept, in characters. */
const MAX_OUTPUT_CHARS = 512 * 1024;

/**
 * A Node.js process that the test harness starts, and signals by its id.
 *
 * @example
 * ```ts ignore
 * const child = new Child(["dist/src/daemon/main.js", "settings.jsonc"]);
 * await child.stop();
 * ```
 */
export class Child {
  readonly #process: ChildProcess;
  readonly #exited: Promise<number | null>;
  output = "";

  /**
   * Starts Node.js on a program.
   *
   * @param args Arguments of Node.js.
   * @param env Environment variables added to those of this process.
   */
  constructor(
    args: readonly string[],
    env: Readonly<Record<string, string>> = {},
  ) {
    this.#process = spawn(process.execPath, [...args], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ...env },
    });
    const appendOutput = (chunk: Uint8Array) => {
      this.output += chunk.toString();
      // Truncates rarely because that copies the kept output.
      if (this.output.length < 2 * MAX_OUTPUT_CHARS) return;
      this.output = this.output.slice(-MAX_OUTPUT_CHARS);
    };
    this.#process.stdout!.on("data", appendOutput);
    this.#process.stderr!.on("data", appendOutput);
    this.#exited = new Promise((resolve) =>
      this.#process.once("exit", (code) => resolve(code))
    );
    CHILDREN.add(this);
    void this.#exited.then(() => CHILDREN.delete(this));
  }

  /** Id of the process. */
  get pid(): number {
    return this.#process.pid!;
  }

  /** Whether the process has exited. */
  get hasExited(): boolean {
    return this.#process.exitCode !== null || this.#process.signalCode !== null;
  }

  /** Waits until the process prints its port and returns it. */
  async waitForPort(): Promise<number> {
    await until(
      () => /port=\d+/.test(this.output),
      `process ${this.pid} prints its port`,
    );
    return Number(/port=(\d+)/.exec(this.output)![1]);
  }

  /** Sends a signal to this process alone. */
  signal(signal: NodeJS.Signals): void {
    this.#process.kill(signal);
  }

  /** Waits for the exit of the process and returns its exit code. */
  waitForExit(): Promise<number | null> {
    return this.#exited;
  }

  /** Sends SIGTERM, waits for the exit and returns the exit code. */
  async stop(): Promise<number | null> {
    this.signal("SIGTERM");
    return await this.#exited;
  }

  /** Kills the process and waits for its exit. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
  }
}

const CHILDREN = new Set<Child>();

process.once("exit", () => {
  for (const child of CHILDREN) child.signal("SIGKILL");
});
// Without these, a signal ends this process and not its children.
for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"] as const) {
  process.once(signal, () => process.exit(1));
}
