import { Buffer } from "node:buffer";
import { KvServer } from "../platform/fakes/kv_server.ts";
import { KvStore } from "../platform/kv_store.ts";
import { ROLLOUT_WIRE } from "../platform/rollout_codec.ts";
import { rewritePeriodMs } from "../src/coordination/eras/mod.ts";
import {
  decodeFeed,
  encodeFeed,
  type FeedPoll,
  type FeedPollResult,
  formatFeedTarget,
  parseFeedTarget,
} from "../src/protocol/feed.ts";
import {
  type BackendRecord,
  BackendState,
  type MeshConfig,
} from "../src/protocol/mesh.ts";
import { Random } from "../src/protocol/random.ts";
import { FeedFollower } from "../src/sidecar/feed_follower.ts";
import { RecordPublisher } from "../src/sidecar/record_publisher.ts";
import type { RequestQuarantine } from "../src/sidecar/request_quarantine.ts";
import { RolloutTask } from "../src/sidecar/rollout_task.ts";
import { StoreRecovery } from "../src/sidecar/store_recovery.ts";
import { StoreSyncTask } from "../src/sidecar/store_sync_task.ts";
import { BackendDirectory } from "../src/state/backend_directory.ts";
import { RouteTableHolder } from "../src/state/route_table_holder.ts";
import { EventLog } from "../src/transport/observe/event_log.ts";
import { TextMetrics } from "../src/transport/observe/text_metrics.ts";

/** Key of the configuration, whose value is its version. */
export const ERA_CONFIG_KEY = "op/config";
/** Service of all backend servers. */
export const ERA_SERVICE = "orders";

const DAEMONS_PER_DOMAIN = 10;

/** Decodes a configuration that consists of its version. */
function decodeConfig(bytes: Uint8Array): MeshConfig {
  return {
    version: Number(Buffer.from(bytes).toString()),
    routes: [],
    services: [],
    gaps: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

/** The parts of a daemon that depend on the store. */
export class EraDaemon {
  readonly routes = new RouteTableHolder();
  readonly directory = new BackendDirectory((record) =>
    this.#rollouts.handleRecord(record)
  );
  /** Versions in the order in which they were adopted. */
  readonly adopted: number[] = [];
  /** Instances that were removed from the directory. */
  readonly removed: string[] = [];
  /** All lines that were logged. */
  logged = "";
  readonly record: BackendRecord;
  readonly #stopped = new AbortController();
  readonly #publisher: RecordPublisher;
  readonly #sync: StoreSyncTask;
  readonly #rollouts: RolloutTask;

  /**
   * Creates a daemon that has not started.
   *
   * @param fleet The fleet.
   * @param index Number of the daemon in the fleet.
   */
  constructor(fleet: EraFleet, index: number) {
    this.record = {
      id: `i-${index}`,
      instance: `a-${index}`,
      service: ERA_SERVICE,
      domain: `domain-${Math.floor(index / DAEMONS_PER_DOMAIN)}`,
      peerAddress: "127.0.0.1:1",
      slots: 4,
      state: BackendState.Ready,
      bornAtUnixMs: 1,
      linkMbps: 100 + index,
      version: "v1",
    };
    const store = new KvStore(fleet.store.address);
    const { instance, domain } = this.record;
    const { directory } = this;
    const metrics = new TextMetrics();
    const log = new EventLog({
      sink: {
        write: (lines) => this.logged += lines,
        close: () => {},
      },
    });
    this.#publisher = new RecordPublisher({ store, instance, log, metrics });
    this.#rollouts = new RolloutTask({
      instance,
      store,
      wire: ROLLOUT_WIRE,
      directory,
      random: new Random(index + 1),
      log,
      metrics,
      viewAgeMs: () => this.#sync.viewAgeMs(),
      openRequests: () => 0,
      sendReport: (record, report) =>
        Promise.resolve(
          fleet.find(record.instance).#rollouts
            .handleReport(report),
        ),
    });
    const pollFeed = (record: BackendRecord, poll: FeedPoll) =>
      fleet.find(record.instance).serveFeed(poll);
    this.#sync = new StoreSyncTask({
      store,
      configSource: {
        key: ERA_CONFIG_KEY,
        watchPrefix: "",
        decode: decodeConfig,
      },
      routes: this.routes,
      directory,
      quarantine: {
        replaceExempt: () => {},
        setExempt: () => {},
        mergeReports: () => {},
      } as unknown as RequestQuarantine,
      log,
      metrics,
      localKey: this.#publisher.key,
      linkMbps: this.record.linkMbps,
      follower: new FeedFollower({
        instance,
        domain,
        directory,
        pollFeed,
        log,
      }),
      recovery: new StoreRecovery({
        store,
        prefix: "",
        instance,
        domain,
        directory,
        pollFeed,
        onCall: (...args) => this.#sync.countCall(...args),
      }),
      onConfigAdopted: () => this.adopted.push(this.routes.version),
      onLocalRecord: (entry) => {
        this.#publisher.handleStoredEntry(entry);
      },
      onRemoved: (removed) => this.removed.push(removed),
      onFirstListing: () => this.#rollouts.handleFirstListing(),
      onOtherEntry: (...args) => this.#rollouts.handleEntry(...args),
      onEra: (era, isRestored) => {
        const delayMs = Math.random() * rewritePeriodMs(directory.size);
        this.#publisher.enterEra(era, isRestored ? delayMs : undefined);
        this.#rollouts.enterEra(era, isRestored);
      },
    });
  }

  /** Starts to synchronize with the store. */
  start(): void {
    this.directory.put(this.record);
    this.#publisher.publish(this.record);
    void this.#sync.run(this.#stopped.signal);
    void this.#publisher.run(this.#stopped.signal);
  }

  /** Stops at once. */
  stop(): void {
    this.#stopped.abort();
    this.#rollouts.stop();
  }

  /**
   * Answers a poll for store changes as another daemon would receive it.
   *
   * @param poll The poll.
   * @returns The changes, or why there are none.
   */
  async serveFeed(poll: FeedPoll): Promise<FeedPollResult> {
    const received = parseFeedTarget(formatFeedTarget(poll))!;
    const answer = await this.#sync.waitForUpdate(received);
    if (answer.kind !== "changes") return answer;
    return {
      kind: "changes",
      batch: decodeFeed(encodeFeed(answer.batch))!,
      viewAgeMs: this.#sync.viewAgeMs(),
    };
  }
}

/**
 * Daemons of one process with a fake store: only what depends on the store, so
 * that a fleet of 64 runs on any machine.
 *
 * @example
 * ```ts ignore
 * const fleet = await EraFleet.start(10);
 * ```
 */
export class EraFleet {
  readonly store: KvServer;
  readonly daemons: readonly EraDaemon[];
  /** Keys that the daemons have written, in order. */
  readonly written: string[] = [];

  private constructor(store: KvServer, size: number) {
    this.store = store;
    this.daemons = Array.from(
      { length: size },
      (_, index) => new EraDaemon(this, index),
    );
    store.onCommit = (key) => this.written.push(key);
  }

  /**
   * Starts a fleet with version 1 of the configuration.
   *
   * @param size Number of daemons.
   * @param era Era of the store; `undefined` if it names none.
   * @returns The fleet, whose daemons may not have read the store yet.
   */
  static async start(size: number, era: number | undefined): Promise<EraFleet> {
    const store = await KvServer.start();
    store.era = era;
    store.put(ERA_CONFIG_KEY, "1");
    const fleet = new EraFleet(store, size);
    for (const daemon of fleet.daemons) daemon.start();
    return fleet;
  }

  /**
   * Returns a daemon by its instance.
   *
   * @param instance The instance.
   * @returns The daemon.
   * @throws {RangeError} If there is none.
   */
  find(instance: string): EraDaemon {
    const found = this.daemons.find(({ record }) =>
      record.instance === instance
    );
    if (found === undefined) {
      throw new RangeError(`Cannot find a daemon: "${instance}" is unknown`);
    }
    return found;
  }

  /** Stops the daemons and the store. */
  async stop(): Promise<void> {
    for (const daemon of this.daemons) daemon.stop();
    await this.store.stop();
  }
}
