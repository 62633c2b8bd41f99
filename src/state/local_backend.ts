import { type Announcement, BackendState } from "../protocol/mesh.ts";

/** Effect of an announcement or a leave message. */
export type LocalBackendChange =
  | { readonly kind: "unchanged" }
  | { readonly kind: "stale" }
  | { readonly kind: "started"; readonly announcement: Announcement }
  | { readonly kind: "draining"; readonly announcement: Announcement }
  | { readonly kind: "left"; readonly id: string };

/**
 * Tracks the backend server of this daemon by the server's announcements.
 *
 * Announcements may arrive late. One from an earlier process of the backend
 * server, or with an old sequence number, is ignored.
 *
 * @example
 * ```ts ignore
 * const backend = new LocalBackend();
 * backend.applyAnnouncement(announcement); // { kind: "started", announcement }
 * ```
 */
export class LocalBackend {
  #current: Announcement | undefined;
  #hasLeft = false;

  /** The latest announcement; `undefined` once the backend server has left. */
  get current(): Announcement | undefined {
    return this.#hasLeft ? undefined : this.#current;
  }

  /** Whether a backend server has been seen, including one that has left. */
  get isKnown(): boolean {
    return this.#current !== undefined;
  }

  /** The latest announcement, if the backend server accepts new requests. */
  get ready(): Announcement | undefined {
    return this.current?.state === BackendState.Ready
      ? this.current
      : undefined;
  }

  /**
   * Restores a backend process that was draining before this daemon started.
   *
   * @param id Id of the backend process.
   * @param bornAtUnixMs Start of the backend process, in Unix ms.
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
   * Applies an announcement.
   *
   * @param announcement The announcement.
   * @returns The effect of the announcement.
   */
  applyAnnouncement(announcement: Announcement): LocalBackendChange {
    const known = this.#current;
    if (known === undefined || isNewProcess(announcement, known)) {
      return this.#start(announcement);
    }
    const isStale = announcement.id !== known.id ||
      announcement.bornAtUnixMs < known.bornAtUnixMs ||
      announcement.sequence <= known.sequence || this.#hasLeft;
    if (isStale) return { kind: "stale" };
    // A backend process never leaves the draining state. A faulty announcement
    // that says otherwise does not change the state.
    const state = known.state === BackendState.Draining
      ? known.state
      : announcement.state;
    this.#current = { ...announcement, state };
    if (state === known.state) return { kind: "unchanged" };
    return { kind: "draining", announcement: this.#current };
  }

  /**
   * Records that the backend server no longer accepts new requests, although
   * it has not announced so.
   *
   * @param id Id of the backend process.
   * @returns The effect.
   */
  applyLeaving(id: string): LocalBackendChange {
    const ready = this.ready;
    if (ready?.id !== id) return { kind: "unchanged" };
    this.#current = { ...ready, state: BackendState.Draining };
    return { kind: "draining", announcement: this.#current };
  }

  /**
   * Records that the backend server has left.
   *
   * @param id Id of the backend process.
   * @param bornAtUnixMs Start of the backend process, in Unix ms; 0 if unknown.
   * @returns The effect of the message.
   */
  applyLeave(id: string, bornAtUnixMs: number): LocalBackendChange {
    const known = this.#current;
    if (known === undefined) {
      this.restoreDrained(id, bornAtUnixMs);
      return { kind: "left", id };
    }
    const isOtherProcess = known.id !== id ||
      (bornAtUnixMs !== 0 && bornAtUnixMs < known.bornAtUnixMs);
    if (isOtherProcess || this.#hasLeft) return { kind: "stale" };
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

function isNewProcess(next: Announcement, known: Announcement): boolean {
  if (next.bornAtUnixMs !== known.bornAtUnixMs) {
    return next.bornAtUnixMs > known.bornAtUnixMs;
  }
  return next.bornAtUnixMs === 0 && next.id !== known.id;
}
