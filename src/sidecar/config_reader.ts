import { setTimeout as sleep } from "node:timers/promises";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { PeerClient } from "./peer_client.ts";
import type { MeshConfigSource, MeshStore } from "./ports.ts";
import { COALESCE_MS } from "./store_poller.ts";
import type { StoreView } from "./store_view.ts";

/** Time for a poll to deliver a version that another daemon has, in ms. */
const PEER_VERSION_GRACE_MS = COALESCE_MS + 200;
/** Longest time for which a request waits for a read of the key, in ms. */
const CONFIRM_TIMEOUT_MS = 600;

/** Options of a {@linkcode ConfigReader}. */
export interface ConfigReaderOptions {
  readonly store: MeshStore;
  readonly configSource: MeshConfigSource;
  readonly routes: RouteTableHolder;
  readonly view: StoreView;
  readonly log: EventLog;
  /** Whether a store that does not answer is waited for. */
  readonly isRecovering: () => boolean;
  /** Doubts the current poll of the store, if there is one. */
  readonly doubtPoll: () => void;
}

/**
 * Reads the configuration beside the polls of the store: for a request that
 * depends on it, and after another daemon has named a newer version.
 *
 * @example
 * ```ts ignore
 * const isNewest = await new ConfigReader(options).confirm();
 * ```
 */
export class ConfigReader {
  readonly #options: ConfigReaderOptions;
  /** Client of the daemon that has named the newest version, if there is one. */
  #newestPeer: PeerClient | undefined;
  #isRefreshing = false;
  #keyRead: Promise<boolean> | undefined;

  /**
   * Creates a reader.
   *
   * @param options Store, view of it and configuration.
   */
  constructor(options: ConfigReaderOptions) {
    this.#options = options;
  }

  /**
   * Reads the configuration from the store, beside the polls.
   *
   * @returns Whether the configuration of this daemon is now the newest; false
   * if the store does not respond soon.
   */
  async confirm(): Promise<boolean> {
    const { view, isRecovering, doubtPoll } = this.#options;
    const timeout = new AbortController();
    const isRead = await Promise.race([
      // A call to a lost store would only be one more that is waited for.
      isRecovering()
        ? view.connection.waitForRegain().then(() => false)
        : this.#readKey(),
      sleep(CONFIRM_TIMEOUT_MS, undefined, { signal: timeout.signal })
        .then(doubtPoll)
        // Aborted, as the read has ended.
        .catch(() => {}),
    ]);
    timeout.abort();
    return isRead === true;
  }

  /**
   * Fetches the newest configuration version that other daemons have named, from
   * the one that named it or from the store, unless the poll delivers it soon.
   *
   * @param version The version of the other daemon.
   * @param client Client of the other daemon, if there is one.
   */
  async handlePeerVersion(
    version: number,
    client: PeerClient | undefined,
  ): Promise<void> {
    const { routes, view, isRecovering } = this.#options;
    const isNewer = version > view.newestPeerVersion;
    const adds = version === view.newestPeerVersion &&
      this.#newestPeer === undefined;
    if (isNewer || adds) {
      view.newestPeerVersion = version;
      this.#newestPeer = client;
    }
    const isBehind = () => view.newestPeerVersion > routes.version;
    if (!isBehind() || this.#isRefreshing) return;
    this.#isRefreshing = true;
    try {
      // A store that is away delivers nothing.
      if (!isRecovering()) await sleep(PEER_VERSION_GRACE_MS);
      let fetched = 0;
      // Others may name a newer version during the fetch.
      while (isBehind() && view.newestPeerVersion > fetched) {
        fetched = view.newestPeerVersion;
        await this.#fetchPeerVersion(fetched, this.#newestPeer);
      }
    } finally {
      this.#isRefreshing = false;
    }
  }

  async #fetchPeerVersion(
    version: number,
    client: PeerClient | undefined,
  ): Promise<void> {
    const { routes, log, view, isRecovering } = this.#options;
    log.info("config-behind-peer", {
      version,
      known: routes.version,
      viewAgeMs: Math.round(view.connection.ageMs()),
    });
    // Compressed, so it also crosses a slow link that the store's copy fills.
    const bytes = await client?.fetchConfig();
    if (bytes !== undefined) {
      view.adoptPeerConfig(bytes);
    }
    if (version > routes.version && !isRecovering()) await this.#readKey();
  }

  /** Reads the key of the configuration; concurrent calls share one read. */
  #readKey(): Promise<boolean> {
    this.#keyRead ??= this.#sendKeyRead().finally(() =>
      this.#keyRead = undefined
    );
    return this.#keyRead;
  }

  async #sendKeyRead(): Promise<boolean> {
    const { store, configSource, view } = this.#options;
    const sentAtMs = performance.now();
    const listed = await store.list(configSource.key);
    view.connection.countCall("read", sentAtMs, listed.isOk());
    if (listed.isErr()) return false;
    return view.applyKeyRead(listed.value, sentAtMs);
  }
}
