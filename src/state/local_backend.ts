import { type Announcement, BackendState } from "../protocol/mesh.ts";

/** What an announcement or a leave changed. */
export type LocalBackendChange =
  | { readonly kind: "unchanged" }
  | { readonly kind: "stale" }
  | { readonly kind: "started"; readonly announcement: Announcement }
  | { readonly kind: "draining"; readonly announcement: Announcement }
  | { readonly kind: "left"; readonly id: string };

/**
 * The backend server beside this daemon, by its own announcements.
 *
 * Announcements may arrive late: those of an earlier life, and those behind a
 * later one of the same life, change nothing.
 *
 * @example
 * ```ts ignore
 * const backend = new OwnBackend();
 * backend.announced(announcement); // { kind: "started", announcement }
 * ```
 */
export class LocalBackend {
  #current: Announcement | undefined;
  #hasLeft = false;

  /** The newest announcement of the present life. */
  get current(): Announcement | undefined {
    return this.#hasLeft ? undefined : this.#current;
  }

  /** Whether anything is known of a backend server, gone or not. */
  get isKnown(): boolean {
    return this.#current !== undefined;
  }

  /** The backend server, where it takes new work. */
  get ready(): Announcement | undefined {
    return this.current?.state === BackendState.Ready
      ? this.current
      : undefined;
  }

  /**
   * Restores a life that was draining before this process started.
   *
   * @param id Id of the life.
   * @param bornAtUnixMs Start of the life.
   */
  restoreDrained(id: string, bornAtUnixMs: number): void {
    if (this.#current !== undefined) return;
    this.#hasLeft = true;
    this.#current = {
      id,
      service: "",
      address: "",
      slots: 0,
      state: BackendState.Draining,
      sequence: Number.MAX_SAFE_INTEGER,
      bornAtUnixMs,
    };
  }

  /**
   * Takes in an announcement.
   *
   * @param announcement The announcement.
   * @returns What it changed.
   */
  applyAnnouncement(announcement: Announcement): LocalBackendChange {
    const known = this.#current;
    if (known === undefined || isNewLife(announcement, known)) {
      return this.#start(announcement);
    }
    const isLate = announcement.id !== known.id ||
      announcement.bornAtUnixMs < known.bornAtUnixMs ||
      announcement.sequence <= known.sequence || this.#hasLeft;
    if (isLate) return { kind: "stale" };
    // Draining is final in a life, whatever a faulty announcement says.
    const state = known.state === BackendState.Draining
      ? known.state
      : announcement.state;
    this.#current = { ...announcement, state };
    if (state === known.state) return { kind: "unchanged" };
    return { kind: "draining", announcement: this.#current };
  }

  /**
   * Takes in the end of a life.
   *
   * @param id Id of the life.
   * @param bornAtUnixMs Its start; 0 where it was not said.
   * @returns What it changed.
   */
  applyLeave(id: string, bornAtUnixMs: number): LocalBackendChange {
    const known = this.#current;
    if (known === undefined) {
      this.restoreDrained(id, bornAtUnixMs);
      return { kind: "left", id };
    }
    const isOther = known.id !== id ||
      (bornAtUnixMs !== 0 && bornAtUnixMs < known.bornAtUnixMs);
    if (isOther || this.#hasLeft) return { kind: "stale" };
    this.#hasLeft = true;
    return { kind: "left", id };
  }

  #start(announcement: Announcement): LocalBackendChange {
    this.#current = announcement;
    this.#hasLeft = false;
    return announcement.state === BackendState.Ready
      ? { kind: "started", announcement }
      : { kind: "draining", announcement };
  }
}

function isNewLife(next: Announcement, known: Announcement): boolean {
  if (next.bornAtUnixMs !== known.bornAtUnixMs) {
    return next.bornAtUnixMs > known.bornAtUnixMs;
  }
  return next.bornAtUnixMs === 0 && next.id !== known.id;
}
