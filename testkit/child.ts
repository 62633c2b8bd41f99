import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { until } from "./until.ts";

/** Last output of a child that is kept, in characters. */
const KEPT_OUTPUT = 512 * 1024;

/**
 * A process that the harness started, and ends by its id.
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
   * @param env Variables besides those of this process.
   */
  constructor(
    args: readonly string[],
    env: Readonly<Record<string, string>> = {},
  ) {
    this.#process = spawn(process.execPath, [...args], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ...env },
    });
    const keep = (chunk: Uint8Array) => {
      this.output += chunk.toString();
      // Cut seldom, as that copies what is kept.
      if (this.output.length < 2 * KEPT_OUTPUT) return;
      this.output = this.output.slice(-KEPT_OUTPUT);
    };
    this.#process.stdout!.on("data", keep);
    this.#process.stderr!.on("data", keep);
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

  /** Whether the process ended. */
  get hasExited(): boolean {
    return this.#process.exitCode !== null || this.#process.signalCode !== null;
  }

  /** Waits until a stand-in tells its port. */
  async waitForPort(): Promise<number> {
    await until(
      () => /port=\d+/.test(this.output),
      `process ${this.pid} tells its port`,
    );
    return Number(/port=(\d+)/.exec(this.output)![1]);
  }

  /** Sends a signal to this process alone. */
  signal(signal: NodeJS.Signals): void {
    this.#process.kill(signal);
  }

  /** Waits for the end of the process. */
  waitForExit(): Promise<number | null> {
    return this.#exited;
  }

  /** Asks the process to stop and waits. */
  async stop(): Promise<number | null> {
    this.signal("SIGTERM");
    return await this.#exited;
  }

  /** Kills the process and waits. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
  }
}

const CHILDREN = new Set<Child>();

process.once("exit", () => {
  for (const child of CHILDREN) child.signal("SIGKILL");
});
