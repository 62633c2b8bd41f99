import { setTimeout as sleep } from "node:timers/promises";
import type { Announcement } from "../protocol/mesh.ts";
import type { MeshCall } from "../protocol/mesh_call.ts";
import type { LocalBackend } from "../state/local_backend.ts";
import {
  ListenerState,
  probeListener,
} from "../transport/http/probe_listener.ts";

/** Timeout of a connection that probes for a listener, in ms. */
const PROBE_TIMEOUT_MS = 500;
/** Pause between two probes, in ms: a refusal may come from an overload. */
const PROBE_PAUSE_MS = 50;
/**
 * Time in which a new process of the backend server confirms that the former
 * one ended, in ms.
 */
const REPLACEMENT_WINDOW_MS = 10_000;

/** How the end of a backend process was confirmed. */
export enum EndProof {
  /** Its port refuses connections, and none of its exchanges is open. */
  Refused = "refused",
  /** Another process announced itself, and the former one had not left. */
  Replaced = "replaced",
}

/** The unplanned end of a backend process. */
export interface BackendEnd {
  /** Unique for each process, also if a later one has the same name. */
  readonly id: string;
  readonly backendId: string;
  /** Calls whose connections broke as it ended. */
  readonly calls: readonly MeshCall[];
  readonly proof: EndProof;
}

/** Options of a {@linkcode BackendEndDetector}. */
export interface BackendEndDetectorOptions {
  readonly backend: LocalBackend;
  /**
   * Whether an exchange with a backend process that began before a monotonic
   * time has no result yet.
   */
  readonly hasOpenExchange: (backendId: string, beforeMs: number) => boolean;
  readonly onEnd: (end: BackendEnd) => void;
}

/**
 * Detects that the local backend process has ended without leaving, and which
 * calls it was running then.
 *
 * A broken connection alone does not prove it, nor does silence: the port has
 * to refuse connections, or another process has to announce itself.
 *
 * @example
 * ```ts ignore
 * const hasEnded = await detector.recordBreak(call);
 * ```
 */
export class BackendEndDetector {
  readonly #options: BackendEndDetectorOptions;
  /** Calls whose connections broke since the process was last seen alive. */
  readonly #broken = new Set<MeshCall>();
  #process: Announcement | undefined;
  #check: Promise<boolean> | undefined;
  /** Monotonic time until which a new process confirms the end. */
  #replaceableUntilMs = -Infinity;
  #forgetTimer: NodeJS.Timeout | undefined;

  /**
   * Creates a detector without broken calls.
   *
   * @param options The backend server, and the receiver of its ends.
   */
  constructor(options: BackendEndDetectorOptions) {
    this.#options = options;
  }

  /**
   * Records that the connection of a call broke after the call was sent.
   *
   * @param call The call.
   * @returns Whether its backend process has ended; never rejects.
   */
  recordBreak(call: MeshCall): Promise<boolean> {
    const { ready } = this.#options.backend;
    if (ready?.id !== call.backendId) return Promise.resolve(false);
    this.#process = ready;
    this.#broken.add(call);
    this.#check ??= this.#checkProcess(ready)
      .finally(() => this.#check = undefined);
    return this.#check;
  }

  /** Records that a new process of the backend server has announced itself. */
  recordReplacement(): void {
    const isConfirmed = performance.now() < this.#replaceableUntilMs;
    if (isConfirmed) this.#report(EndProof.Replaced);
    this.forget();
  }

  /** Forgets the broken calls: the process leaves, or their end is unproven. */
  forget(): void {
    clearTimeout(this.#forgetTimer);
    this.#broken.clear();
    this.#replaceableUntilMs = -Infinity;
  }

  async #checkProcess(process: Announcement): Promise<boolean> {
    const startedAtMs = performance.now();
    const calls = [...this.#broken];
    const first = await probeListener(process.address, PROBE_TIMEOUT_MS);
    if (first === ListenerState.Accepting) {
      for (const call of calls) this.#broken.delete(call);
      return this.#broken.size > 0 && await this.#checkProcess(process);
    }
    this.#awaitReplacement();
    if (first === ListenerState.Silent) return false;
    await sleep(PROBE_PAUSE_MS);
    const second = await probeListener(process.address, PROBE_TIMEOUT_MS);
    const { backend, hasOpenExchange } = this.#options;
    const isCurrent = backend.ready?.id === process.id &&
      backend.ready.bornAtUnixMs === process.bornAtUnixMs;
    // Reported by its replacement, unless it has left.
    if (!isCurrent) return backend.ready !== undefined;
    const isAlive = second !== ListenerState.Refusing ||
      hasOpenExchange(process.id, startedAtMs);
    if (isAlive) return false;
    this.#report(EndProof.Refused);
    this.forget();
    return true;
  }

  /** Keeps the broken calls, and their bodies, no longer than they may count. */
  #awaitReplacement(): void {
    this.#replaceableUntilMs = performance.now() + REPLACEMENT_WINDOW_MS;
    clearTimeout(this.#forgetTimer);
    this.#forgetTimer = setTimeout(() => this.forget(), REPLACEMENT_WINDOW_MS)
      .unref();
  }

  #report(proof: EndProof): void {
    const calls = [...this.#broken];
    if (calls.length === 0 || this.#process === undefined) return;
    const { id, bornAtUnixMs } = this.#process;
    this.#options.onEnd({
      id: `${id}@${bornAtUnixMs}`,
      backendId: id,
      calls,
      proof,
    });
  }
}
