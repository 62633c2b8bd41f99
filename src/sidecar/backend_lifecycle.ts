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
}

/** A recorded backend process that has not shown yet that it accepts requests. */
interface UnprovenBackend {
  readonly id: string;
  /** Sequence of its first ready announcement; `undefined` before it. */
  firstSequence: number | undefined;
}

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
  #hasRecovered = false;
  /** Backend process that an earlier daemon process may have drained. */
  #unproven: UnprovenBackend | undefined;

  /**
   * Creates a lifecycle before any announcement.
   *
   * @param options The backend server, and the components that depend on it.
   */
  constructor(options: BackendLifecycleOptions) {
    this.#options = options;
  }

  /**
   * Restores the backend server that an earlier daemon process recorded.
   *
   * @param record The stored record.
   */
  recover(record: BackendRecord): void {
    if (this.#hasRecovered || this.#options.backend.current !== undefined) {
      return;
    }
    this.#hasRecovered = true;
    switch (record.state) {
      case BackendState.Draining:
        this.#options.backend.restoreDrained(record.id, record.bornAtUnixMs);
        return;
      case BackendState.Ready:
        void this.#recoverReady(record);
    }
  }

  /**
   * Probes the backend server, since an earlier daemon process may have
   * acknowledged a drain that it could not record.
   */
  async #recoverReady(record: BackendRecord): Promise<void> {
    const table = this.#options.routes.current;
    const service = table?.config.services.find(({ name }) =>
      name === record.service
    );
    if (service === undefined) return;
    this.#unproven = { id: record.id, firstSequence: undefined };
    const takesWork = await probeBackend({
      address: this.#options.settings.backendAddress,
      healthPath: service.healthPath,
      backendId: record.id,
      idHeader: this.#options.idHeader,
    });
    this.#options.log.info("backend-recovered", {
      backend: record.id,
      takesWork,
    });
    if (!takesWork || this.#options.backend.isKnown) return;
    this.#unproven = undefined;
    this.handleAnnouncement({
      id: record.id,
      service: record.service,
      address: this.#options.settings.backendAddress,
      slots: record.slots,
      state: BackendState.Ready,
      sequence: 0,
      bornAtUnixMs: record.bornAtUnixMs,
    });
  }

  /**
   * Applies an announcement of the backend server.
   *
   * @param announcement The announcement.
   */
  handleAnnouncement(announcement: Announcement): void {
    if (this.#mayBeOutdated(announcement)) return;
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
   * Whether an announcement may be a late one, from before a drain that an
   * earlier daemon process acknowledged and could not record. A second one
   * shows that the backend server goes on to announce itself as ready.
   */
  #mayBeOutdated(announcement: Announcement): boolean {
    const unproven = this.#unproven;
    const isUnproven = unproven?.id === announcement.id &&
      !this.#options.backend.isKnown &&
      announcement.state === BackendState.Ready;
    if (!isUnproven) return false;
    const { firstSequence } = unproven;
    unproven.firstSequence ??= announcement.sequence;
    if (firstSequence !== undefined && announcement.sequence > firstSequence) {
      return false;
    }
    this.#logBackend("backend-unproven", announcement);
    return true;
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
    };
    this.#options.directory.put(record);
    this.#options.publisher.publish(record);
  }
}
