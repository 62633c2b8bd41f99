import { rewritePeriodMs } from "../coordination/eras/mod.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import type { BackendLifecycle } from "./backend_lifecycle.ts";
import type { DestinationPool } from "./destination_pool.ts";
import { FeedFollower } from "./feed_follower.ts";
import type { SidecarPorts } from "./ports.ts";
import type { RecordPublisher } from "./record_publisher.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { RolloutTask } from "./rollout_task.ts";
import type { SidecarSettings } from "./sidecar_settings.ts";
import { StoreRecovery } from "./store_recovery.ts";
import { StoreSyncTask } from "./store_sync_task.ts";

/** The parts of a daemon that depend on the store. */
export interface StoreSyncParts {
  readonly settings: SidecarSettings;
  readonly ports: SidecarPorts;
  readonly routes: RouteTableHolder;
  readonly directory: BackendDirectory;
  readonly quarantine: RequestQuarantine;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
  readonly publisher: RecordPublisher;
  readonly destinations: DestinationPool;
  readonly lifecycle: BackendLifecycle;
  readonly rollouts: RolloutTask | undefined;
  /** Called after a configuration was adopted. */
  readonly onConfigAdopted: () => void;
}

/**
 * Creates the synchronization of a daemon with the store.
 *
 * @param parts The parts of the daemon that depend on it.
 * @returns The task, which has not started.
 *
 * @example
 * ```ts ignore
 * void createStoreSync(parts).run(signal);
 * ```
 */
export function createStoreSync(parts: StoreSyncParts): StoreSyncTask {
  const { settings, ports, directory, log, destinations } = parts;
  const { publisher, quarantine, lifecycle, rollouts } = parts;
  const { instance, domain } = settings;
  const sync: StoreSyncTask = new StoreSyncTask({
    ...parts,
    store: ports.store,
    configSource: ports.config,
    localKey: publisher.key,
    linkMbps: settings.linkMbps,
    follower: new FeedFollower({
      instance,
      domain,
      directory,
      pollFeed: (record, poll) => destinations.pollFeed(record, poll),
      log,
    }),
    recovery: new StoreRecovery({
      store: ports.store,
      prefix: ports.config.watchPrefix,
      instance,
      domain,
      directory,
      pollFeed: (...args) => destinations.pollFeed(...args),
      onCall: (...args) => sync.countCall(...args),
    }),
    onLocalRecord: (entry) => {
      const record = publisher.handleStoredEntry(entry);
      if (record === undefined) return;
      quarantine.mergeReports(record.instance, record.ends);
      lifecycle.recover(record);
    },
    onRemoved: (removed) => destinations.remove(removed),
    onFirstListing: () => rollouts?.handleFirstListing(),
    onOtherEntry: (...args) => rollouts?.handleEntry(...args),
    onEra: (era, isRestored) => {
      const delayMs = Math.random() * rewritePeriodMs(directory.size);
      publisher.enterEra(era, isRestored ? delayMs : undefined);
      rollouts?.enterEra(era, isRestored);
    },
  });
  return sync;
}
