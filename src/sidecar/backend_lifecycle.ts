import {
  type Announcement,
  type BackendRecord,
  BackendState,
} from "../protocol/mesh.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { LocalBackend } from "../state/local_backend.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { RecordPublisher } from "./record_publisher.ts";
import type { BackendDispatcher } from "./backend_dispatcher.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import { probeBackend } from "./probe_backend.ts";
import type { SidecarSettings } from "./sidecar_settings.ts";

/** Options of a {@linkcode BackendLifecycle}. */
export interface BackendLifecycleOptions {
  readonly settings: SidecarSettings;
  readonly backend: LocalBackend;
  readonly dispatcher: BackendDispatcher;
  readonly directory: BackendDirectory;
  readonly publisher: RecordPublisher;
  readonly quarantine: RequestQuarantine;
  readonly routes: RouteTableHolder;
  /** Lower-case name of the header with the id of the backend process. */
  readonly idHeader: string;
  readonly log: EventLog;
  /** Monotonic time at which this daemon process started. */
  readonly startedAtMs: number;
}

/**
 * Longest time by which an announcement may be late, in ms. One that arrives
 * later than this after the start of the daemon was sent after that start, and
 * so after any leave that an earlier daemon process acknowledged.
 */
const MAX_ANNOUNCEMENT_DELAY_MS = 5_000;
/** Path of the health check until a configuration names one. */
const DEFAULT_HEALTH_PATH = "/health";

/**
 * Tracks the state of the local backend server, and updates its dispatcher, the
 * directory and its record accordingly.
 *
 * @example
 * ```ts ignore
 * new BackendLifecycle(options).handleAnnouncement(announcement);
 * ```
 */
export class BackendLifecycle {
  readonly #options: BackendLifecycleOptions;
  /** Monotonic time from which announcements are not from before the start. */
  readonly #currentFromMs: number;
  #hasRecovered = false;
  /** Newest announcement that may be older than this daemon process. */
  #unproven: Announcement | undefined;
  #isProbing = false;
  /** Warm-up of the newest process; its end is recorded once. */
  #warmUp:
    | { readonly id: string; readonly warmAtUnixMs: number | undefined }
    | undefined;

  /**
   * Creates a lifecycle before any announcement.
   *
   * @param options The backend server, and the components that depend on it.
   */
  constructor(options: BackendLifecycleOptions) {
    this.#options = options;
    this.#currentFromMs = options.startedAtMs + MAX_ANNOUNCEMENT_DELAY_MS;
  }

  /**
   * Restores the backend server that an earlier daemon process recorded.
   *
   * @param record The stored record.
   */
  recover(record: BackendRecord): void {
    if (this.#hasRecovered) return;
    this.#hasRecovered = true;
    const { backend, settings } = this.#options;
    switch (record.state) {
      case BackendState.Draining:
        backend.restoreDrained(record.id, record.bornAtUnixMs);
        this.#drainRecorded(record);
        return;
      case BackendState.Ready:
        if (backend.isKnown) return;
        this.#hold({
          id: record.id,
          service: record.service,
          address: settings.backendAddress,
          slots: record.slots,
          state: BackendState.Ready,
          sequence: 0,
          bornAtUnixMs: record.bornAtUnixMs,
          ...(record.version === undefined ? {} : { version: record.version }),
        });
    }
  }

  /** Drains a backend server that was taken for ready before it was recovered. */
  #drainRecorded(record: BackendRecord): void {
    const ready = this.#options.backend.ready;
    if (ready?.bornAtUnixMs !== record.bornAtUnixMs) return;
    this.handleLeavingResponse(record.id);
  }

  /**
   * Applies an announcement of the backend server.
   *
   * @param announcement The announcement.
   */
  handleAnnouncement(announcement: Announcement): void {
    if (this.#mayBeOutdated(announcement)) {
      this.#logBackend("backend-unproven", announcement);
      this.#hold(announcement);
      return;
    }
    this.#apply(announcement);
  }

  #apply(announcement: Announcement): void {
    this.#unproven = undefined;
    const change = this.#options.backend.applyAnnouncement(announcement);
    switch (change.kind) {
      case "unchanged":
      case "stale":
      case "left":
        return;
      case "started":
        this.#logBackend("backend-started", announcement);
        this.#options.dispatcher.connect(announcement);
        this.#publish(BackendState.Ready);
        return;
      case "draining":
        this.#startDraining(announcement);
    }
  }

  /**
   * Records that a response of the backend server says that it leaves.
   *
   * @param id Id of the backend process.
   */
  handleLeavingResponse(id: string): void {
    const change = this.#options.backend.applyLeaving(id);
    if (change.kind === "draining") this.#startDraining(change.announcement);
  }

  /**
   * Records that the backend server has left.
   *
   * @param id Id of the backend process.
   * @param bornAtUnixMs Start of the backend process, in Unix ms; 0 if unknown.
   */
  handleLeave(id: string, bornAtUnixMs: number): void {
    const last = this.#options.backend.current;
    const change = this.#options.backend.applyLeave(id, bornAtUnixMs);
    if (change.kind !== "left") return;
    this.#options.log.info("backend-left", { backend: id });
    this.#options.dispatcher.rejectQueued();
    if (last !== undefined) this.#publish(BackendState.Draining, last);
  }

  /** Publishes the latest ends of the backend server with its record. */
  publishEnds(): void {
    this.#publish(BackendState.Ready);
  }

  /**
   * Whether an announcement may have been sent before a leave that an earlier
   * daemon process acknowledged. Nothing else may show that: the store may be
   * out of reach, or have been when the earlier process should have recorded it.
   */
  #mayBeOutdated(announcement: Announcement): boolean {
    return !this.#options.backend.isKnown &&
      announcement.state === BackendState.Ready &&
      performance.now() < this.#currentFromMs;
  }

  /** Keeps an announcement until a health check shows whether it still holds. */
  #hold(announcement: Announcement): void {
    const held = this.#unproven;
    if (held === undefined || isLater(announcement, held)) {
      this.#unproven = announcement;
    }
    void this.checkUnproven();
  }

  /**
   * Checks the health of a backend server whose announcement may be outdated.
   * Each further announcement and configuration repeats a check that failed.
   */
  async checkUnproven(): Promise<void> {
    const { settings, backend, idHeader, log } = this.#options;
    const checked = this.#unproven;
    const healthPath = checked && this.#healthPathOf(checked.service);
    if (checked === undefined || healthPath === undefined) return;
    if (this.#isProbing) return;
    this.#isProbing = true;
    const takesWork = await probeBackend({
      address: settings.backendAddress,
      healthPath,
      backendId: checked.id,
      idHeader,
    });
    this.#isProbing = false;
    log.info("backend-recovered", { backend: checked.id, takesWork });
    const proven = this.#unproven;
    const isSame = proven?.id === checked.id &&
      proven.bornAtUnixMs === checked.bornAtUnixMs;
    if (isSame && takesWork && !backend.isKnown) this.#apply(proven);
  }

  /** Returns the path; `undefined` if the configuration lacks the service. */
  #healthPathOf(service: string): string | undefined {
    const { current } = this.#options.routes;
    if (current === undefined) return DEFAULT_HEALTH_PATH;
    return current.config.services.find(({ name }) => name === service)
      ?.healthPath;
  }

  #logBackend(event: string, announcement: Announcement): void {
    this.#options.log.info(event, {
      backend: announcement.id,
      sequence: announcement.sequence,
      bornAtUnixMs: announcement.bornAtUnixMs,
      slots: announcement.slots,
    });
  }

  #startDraining(announcement: Announcement): void {
    this.#logBackend("backend-draining", announcement);
    this.#options.dispatcher.rejectQueued();
    this.#publish(BackendState.Draining);
  }

  /** Says until when a process works slowly that has just started. */
  #warmUpOf(
    { id, coldLeftMs = 0 }: Announcement,
  ): Pick<BackendRecord, "warmAtUnixMs"> {
    if (this.#warmUp?.id !== id) {
      const warmAtUnixMs = coldLeftMs > 0 ? Date.now() + coldLeftMs : undefined;
      this.#warmUp = { id, warmAtUnixMs };
    }
    const { warmAtUnixMs } = this.#warmUp;
    return warmAtUnixMs === undefined ? {} : { warmAtUnixMs };
  }

  #publish(state: BackendState, of = this.#options.backend.current): void {
    if (of === undefined) return;
    const { settings, quarantine } = this.#options;
    const ends = quarantine.reports;
    const isDraining = of.state === BackendState.Draining;
    const record: BackendRecord = {
      id: of.id,
      instance: settings.instance,
      service: of.service,
      domain: settings.domain,
      peerAddress: settings.advertisedPeerAddress ?? settings.peerAddress,
      slots: of.slots,
      state: isDraining ? BackendState.Draining : state,
      bornAtUnixMs: of.bornAtUnixMs,
      linkMbps: settings.linkMbps,
      ...(ends.length === 0 ? {} : { ends }),
      ...(of.version === undefined ? {} : { version: of.version }),
      ...this.#warmUpOf(of),
    };
    this.#options.directory.put(record);
    this.#options.publisher.publish(record);
  }
}

/** Whether an announcement was sent after another one. */
function isLater(next: Announcement, known: Announcement): boolean {
  return next.bornAtUnixMs === known.bornAtUnixMs
    ? next.sequence > known.sequence
    : next.bornAtUnixMs > known.bornAtUnixMs;
}
