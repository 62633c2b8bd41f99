import {
  type Announcement,
  type BackendRecord,
  BackendState,
} from "../protocol/mesh.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { OwnBackend } from "../state/own_backend.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { AnnounceTask } from "./announce_task.ts";
import type { DestinationTask } from "./destination_task.ts";
import { probeBackend } from "./probe_backend.ts";
import type { SidecarSettings } from "./sidecar_settings.ts";

/** What a keeper tells of its backend server, and to whom. */
export interface BackendKeeperOptions {
  readonly settings: SidecarSettings;
  readonly backend: OwnBackend;
  readonly destination: DestinationTask;
  readonly directory: BackendDirectory;
  readonly announcer: AnnounceTask;
  readonly routes: RouteTableHolder;
  /** Lower-case name of the header that names a life. */
  readonly idHeader: string;
  readonly log: EventLog;
}

/**
 * Follows the life of the backend server beside this daemon, and keeps its
 * destination, the directory and its record in step.
 *
 * @example
 * ```ts ignore
 * new BackendKeeper(options).announced(announcement);
 * ```
 */
export class BackendKeeper {
  readonly #options: BackendKeeperOptions;
  #hasRecovered = false;
  #isLeaving = false;

  /**
   * Creates a keeper that has heard nothing yet.
   *
   * @param options The backend server, and who is told of it.
   */
  constructor(options: BackendKeeperOptions) {
    this.#options = options;
  }

  /** Tells others to choose other backend servers, as this daemon ends. */
  leave(): void {
    this.#isLeaving = true;
    this.#publish(BackendState.DaemonStopping);
  }

  /**
   * Takes up the backend server that an earlier process had recorded.
   *
   * @param record The record.
   */
  recover(record: BackendRecord): void {
    if (this.#hasRecovered || this.#options.backend.current !== undefined) {
      return;
    }
    this.#hasRecovered = true;
    switch (record.state) {
      case BackendState.Draining:
        this.#options.backend.restoreLeft(record.id, record.bornAtUnixMs);
        return;
      case BackendState.Ready:
      case BackendState.DaemonStopping:
        void this.#recoverReady(record);
    }
  }

  /**
   * An earlier process may have acknowledged a drain that it could not record,
   * so the backend server itself is asked.
   */
  async #recoverReady(record: BackendRecord): Promise<void> {
    const table = this.#options.routes.current;
    const service = table?.config.services.find(({ name }) =>
      name === record.service
    );
    if (service === undefined) return;
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
    this.announced({
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
   * Takes in an announcement of the backend server.
   *
   * @param announcement The announcement.
   */
  announced(announcement: Announcement): void {
    const change = this.#options.backend.announced(announcement);
    switch (change.kind) {
      case "unchanged":
      case "stale":
      case "left":
        return;
      case "started":
        this.#logBackend("backend-started", announcement);
        this.#options.destination.started(announcement);
        this.#publish(
          this.#isLeaving ? BackendState.DaemonStopping : BackendState.Ready,
        );
        return;
      case "draining":
        this.#logBackend("backend-draining", announcement);
        this.#options.destination.drain();
        this.#publish(BackendState.Draining);
    }
  }

  /**
   * Takes in the end of a life of the backend server.
   *
   * @param id Id of the life.
   * @param bornAtUnixMs Its start; 0 where it was not said.
   */
  left(id: string, bornAtUnixMs: number): void {
    const last = this.#options.backend.current;
    const change = this.#options.backend.left(id, bornAtUnixMs);
    if (change.kind !== "left") return;
    this.#options.log.info("backend-left", { backend: id });
    this.#options.destination.drain();
    if (last !== undefined) this.#publish(BackendState.Draining, last);
  }

  #logBackend(event: string, announcement: Announcement): void {
    this.#options.log.info(event, {
      backend: announcement.id,
      sequence: announcement.sequence,
      bornAtUnixMs: announcement.bornAtUnixMs,
      slots: announcement.slots,
    });
  }

  #publish(state: BackendState, of = this.#options.backend.current): void {
    if (of === undefined) return;
    const { settings } = this.#options;
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
    };
    this.#options.directory.put(record);
    this.#options.announcer.publish(record);
  }
}
