/** Settings of {@linkcode VirtualProgress}. */
export interface VirtualProgressOptions {
  /** Time constant with which the progress is forgotten, in ms. */
  readonly decayMs: number;
  /** Time with a backlog that the bandwidth of the link counts for, in ms. */
  readonly priorMs: number;
}

const DEFAULTS: VirtualProgressOptions = { decayMs: 1_000, priorMs: 250 };

/**
 * Learns how fast the virtual time of a link passes while transfers wait: the
 * more organisations share the link, the more slowly. New arrivals overtake a
 * backlog, so its wait cannot be told from the transfers ahead of it.
 *
 * @example
 * ```ts
 * const progress = new VirtualProgress();
 * progress.expectedMs(90_000, 1_500); // 60
 * ```
 */
export class VirtualProgress {
  /** Time with a backlog and progress meanwhile, decayed to `#atMs`. */
  #backlogMs = 0;
  #bytes = 0;
  #virtualBytes = 0;
  #hasBacklog = false;
  #atMs = 0;
  readonly #options: VirtualProgressOptions;

  /**
   * Creates an estimate from the bandwidth alone.
   *
   * @param options What counts besides the newest progress.
   */
  constructor(options: VirtualProgressOptions = DEFAULTS) {
    this.#options = options;
  }

  /**
   * Records the virtual time.
   *
   * @param virtualBytes The virtual time, in bytes.
   * @param hasBacklog Whether transfers wait from now on.
   * @param nowMs Monotonic time, in ms.
   */
  record(virtualBytes: number, hasBacklog: boolean, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#atMs);
    const left = Math.exp(-elapsedMs / this.#options.decayMs);
    const passedMs = this.#hasBacklog ? elapsedMs : 0;
    this.#backlogMs = this.#backlogMs * left + passedMs;
    this.#bytes = this.#bytes * left + virtualBytes - this.#virtualBytes;
    this.#virtualBytes = virtualBytes;
    this.#hasBacklog = hasBacklog;
    this.#atMs = nowMs;
  }

  /**
   * Returns when the virtual time will probably have passed by some bytes.
   *
   * @param bytes The bytes.
   * @param bytesPerMs Bytes that the link carries per ms.
   * @returns The time from now, in ms.
   */
  expectedMs(bytes: number, bytesPerMs: number): number {
    const { priorMs } = this.#options;
    return bytes * (this.#backlogMs + priorMs) /
      (this.#bytes + priorMs * bytesPerMs);
  }
}
