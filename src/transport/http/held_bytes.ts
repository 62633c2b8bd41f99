const BYTES_PER_MB = 1024 * 1024;
/** Limit where the memory of the instance is not known, in bytes. */
const DEFAULT_LIMIT_BYTES = 1024 * BYTES_PER_MB;
/**
 * Memory that is not for bodies, in bytes: code, heap, and buffers that are
 * free but not collected yet, of which Node.js tolerates up to 64 MB.
 */
const RESERVED_BYTES = 100 * BYTES_PER_MB;
/** Largest part of an instance's memory that bodies may take. */
const MAX_MEMORY_SHARE = 1 / 2;
/** Smallest part, for an instance with hardly more than the reserved memory. */
const MIN_MEMORY_SHARE = 1 / 8;
/** Largest part of the limit that one owner may take with several bodies. */
const MAX_OWNER_SHARE = 1 / 2;
/** Part of the limit that only short bodies may take. */
const SHORT_BODY_SHARE = 1 / 8;
/** Largest body that counts as short, in bytes. */
export const MAX_SHORT_BODY_BYTES = 64 * 1024;
/** A body that got fewer bytes within {@linkcode STALL_MS} is stalled. */
const MIN_PROGRESS_BYTES = 16 * 1024;
/** Time without progress after which a body is stalled, in ms. */
const STALL_MS = 1_000;

/** A body that takes part in a {@linkcode HeldBytes} account. */
export interface BodyHold {
  /**
   * Takes bytes for the body.
   *
   * @param bytes Number of bytes.
   * @returns Whether they fit; nothing is taken otherwise.
   */
  take(bytes: number): boolean;
  /** Notes that bytes of the body have arrived. */
  progress(bytes: number): void;
  /** The body has arrived: it is not stalled from now on. */
  complete(): void;
  /** Returns everything that was taken; later calls have no effect. */
  end(): void;
}

/**
 * Returns the limit of the bytes that a daemon holds for bodies.
 *
 * @param memoryMb Memory of the instance, in MB; 0 if unknown.
 * @returns The limit, in bytes.
 *
 * @example
 * ```ts
 * heldBytesLimit(250); // 131072000
 * ```
 */
export function heldBytesLimit(memoryMb: number): number {
  if (memoryMb === 0) return DEFAULT_LIMIT_BYTES;
  const bytes = memoryMb * BYTES_PER_MB;
  return Math.max(
    bytes * MIN_MEMORY_SHARE,
    Math.min(bytes * MAX_MEMORY_SHARE, bytes - RESERVED_BYTES),
  );
}

/**
 * Account of the bytes of requests and responses that a daemon holds.
 *
 * A body that does not fit takes the place of stalled ones, longest stalled
 * first, or is refused. One owner may take a part of the limit only, except
 * with a single body.
 *
 * @example
 * ```ts ignore
 * const hold = account.open("10.0.0.1", () => request.destroy());
 * if (!hold.take(length)) refuse();
 * hold.end();
 * ```
 */
export class HeldBytes {
  readonly #nowMs: () => number;
  readonly #holds = new Set<Hold>();
  readonly #bytesOf = new Map<string, number>();
  #limitBytes: number;
  #bytes = 0;

  /**
   * Creates an empty account.
   *
   * @param limitBytes Limit, in bytes.
   * @param nowMs Returns the monotonic time, in ms.
   */
  constructor(
    limitBytes = DEFAULT_LIMIT_BYTES,
    nowMs: () => number = () => performance.now(),
  ) {
    this.#limitBytes = limitBytes;
    this.#nowMs = nowMs;
  }

  /** Number of bytes that are held. */
  get bytes(): number {
    return this.#bytes;
  }

  /** The limit, in bytes. */
  get limitBytes(): number {
    return this.#limitBytes;
  }

  /** Replaces the limit; what is held stays. */
  setLimit(limitBytes: number): void {
    this.#limitBytes = limitBytes;
  }

  /**
   * Opens a hold for one body.
   *
   * @param owner Organisation or address that sends it.
   * @param onEvicted Called if the body has to give up its place.
   * @returns The hold, which is empty.
   */
  open(owner: string, onEvicted: () => void): BodyHold {
    const hold = new Hold(this, owner, onEvicted, this.#nowMs);
    this.#holds.add(hold);
    return hold;
  }

  /**
   * Takes bytes that cannot be refused, such as those of a ready response.
   *
   * @param bytes Number of bytes; negative to return them.
   */
  add(bytes: number): void {
    this.#bytes += bytes;
  }

  /** Takes bytes for a hold; called by the hold. */
  takeFor(hold: Hold, bytes: number): boolean {
    if (!this.#fits(hold, bytes)) this.#evictFor(hold, bytes);
    if (!this.#fits(hold, bytes)) return false;
    this.#bytes += bytes;
    this.#bytesOf.set(hold.owner, this.#ownerBytes(hold.owner) + bytes);
    return true;
  }

  /** Returns the bytes of a hold; called by the hold. */
  close(hold: Hold): void {
    this.#holds.delete(hold);
    this.#bytes -= hold.bytes;
    const left = this.#ownerBytes(hold.owner) - hold.bytes;
    if (left > 0) this.#bytesOf.set(hold.owner, left);
    else this.#bytesOf.delete(hold.owner);
  }

  #ownerBytes(owner: string): number {
    return this.#bytesOf.get(owner) ?? 0;
  }

  #fits(hold: Hold, bytes: number): boolean {
    const isShort = hold.bytes + bytes <= MAX_SHORT_BODY_BYTES;
    const limitBytes = isShort
      ? this.#limitBytes
      : this.#limitBytes * (1 - SHORT_BODY_SHARE);
    if (this.#bytes + bytes > limitBytes) return false;
    const ownerBytes = this.#ownerBytes(hold.owner);
    return isShort || ownerBytes === hold.bytes ||
      ownerBytes + bytes <= this.#limitBytes * MAX_OWNER_SHARE;
  }

  #evictFor(hold: Hold, bytes: number): void {
    const nowMs = this.#nowMs();
    const stalled = [...this.#holds]
      .filter((other) => other !== hold && other.isStalled(nowMs))
      .sort((a, b) => a.progressAtMs - b.progressAtMs);
    for (const other of stalled) {
      if (this.#fits(hold, bytes)) return;
      other.evict();
    }
  }
}

class Hold implements BodyHold {
  readonly owner: string;
  readonly #account: HeldBytes;
  readonly #onEvicted: () => void;
  readonly #nowMs: () => number;
  /** Number of bytes that were taken. */
  bytes = 0;
  /** Monotonic time of the last progress. */
  progressAtMs: number;
  #receivedBytes = 0;
  #hasArrived = false;
  #hasEnded = false;

  constructor(
    account: HeldBytes,
    owner: string,
    onEvicted: () => void,
    nowMs: () => number,
  ) {
    this.#account = account;
    this.owner = owner;
    this.#onEvicted = onEvicted;
    this.#nowMs = nowMs;
    this.progressAtMs = nowMs();
  }

  take(bytes: number): boolean {
    if (this.#hasEnded || !this.#account.takeFor(this, bytes)) return false;
    this.bytes += bytes;
    return true;
  }

  progress(bytes: number): void {
    this.#receivedBytes += bytes;
    if (this.#receivedBytes < MIN_PROGRESS_BYTES) return;
    this.#receivedBytes = 0;
    this.progressAtMs = this.#nowMs();
  }

  complete(): void {
    this.#hasArrived = true;
  }

  end(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#account.close(this);
  }

  isStalled(nowMs: number): boolean {
    return !this.#hasArrived && nowMs - this.progressAtMs >= STALL_MS;
  }

  evict(): void {
    this.end();
    this.#onEvicted();
  }
}

/** Shared by all servers and pools, since they use the memory of one process. */
export const PROCESS_BYTES = new HeldBytes();
