import { request } from "undici";
import type { BackendBehaviour, Execution } from "../fakes/backend_server.ts";
import { Child } from "./child.ts";
import { distFile } from "./dist_file.ts";

/**
 * Stand-in of a backend server that runs as a separate process.
 *
 * @example
 * ```ts ignore
 * const backend = await BackendProcess.start("lookup", daemon.admin, {});
 * ```
 */
export class BackendProcess {
  readonly child: Child;
  readonly port: number;

  private constructor(child: Child, port: number) {
    this.child = child;
    this.port = port;
  }

  /** Starts a stand-in that announces itself to a daemon. */
  static async start(
    service: string,
    daemonAdmin: string,
    behaviour: Partial<BackendBehaviour>,
  ): Promise<BackendProcess> {
    const child = new Child([
      distFile("fakes/backend_main.js"),
      service,
      daemonAdmin,
      JSON.stringify(behaviour),
    ]);
    return new BackendProcess(child, await child.waitForPort());
  }

  /** Returns the requests that it ran, or none if it cannot be reached. */
  async executions(): Promise<Execution[]> {
    try {
      const response = await request(
        `http://127.0.0.1:${this.port}/executions`,
      );
      return await response.body.json() as Execution[];
    } catch {
      return [];
    }
  }

  /** Changes the behaviour of the stand-in. */
  async setBehaviour(change: Partial<BackendBehaviour>): Promise<void> {
    await request(`http://127.0.0.1:${this.port}/_behaviour`, {
      method: "POST",
      body: JSON.stringify(change),
    });
  }

  /** Kills the process, also while it is paused. */
  async close(): Promise<void> {
    if (this.child.hasExited) return;
    this.child.signal("SIGCONT");
    await this.child.kill();
  }
}
