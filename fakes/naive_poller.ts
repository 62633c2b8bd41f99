import {
  readHead,
  readResources,
} from "../src/coordination/config/version_records.ts";
import { ResourceSet } from "../src/state/resource_set.ts";
import { SocketMeter } from "../src/transport/observe/socket_meter.ts";
import { EtcdStore } from "../src/transport/store/etcd_store.ts";

/**
 * Distributes the configuration as the baseline of the benchmarks: polls the
 * store and downloads full copies.
 *
 * @example
 * ```ts ignore
 * const poller = new NaivePoller("127.0.0.1:2379", 1_000);
 * poller.start();
 * ```
 */
export class NaivePoller {
  readonly meter = new SocketMeter();
  version = 0;
  adoptedAtMs = 0;
  calls = 0;
  resources = ResourceSet.empty();
  readonly #store: EtcdStore;
  readonly #periodMs: number;
  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates a poller.
   *
   * @param store Address of the store.
   * @param periodMs Period of the polls, in ms.
   */
  constructor(store: string, periodMs: number) {
    this.#periodMs = periodMs;
    this.#store = new EtcdStore([store], {
      callsPerSecond: 100,
      meter: this.meter,
      onCall: () => this.calls++,
    });
  }

  /** Starts to poll. */
  start(): void {
    this.#timer = setInterval(() => void this.poll(), this.#periodMs);
  }

  /** Polls the store once and downloads the version if it is new. */
  async poll(): Promise<void> {
    const stored = await readHead(this.#store);
    const head = stored.isOk() ? stored.value?.head : undefined;
    if (head === undefined || head.version === this.version) return;
    const resources = await readResources(this.#store, head);
    if (resources.isErr()) return;
    this.resources = resources.value;
    this.version = head.version;
    this.adoptedAtMs = Date.now();
  }

  /** Stops the polls and closes the connection to the store. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await this.#store.close();
  }
}
