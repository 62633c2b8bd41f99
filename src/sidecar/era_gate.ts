import {
  compareEras,
  EraOrder,
  ResponseUse,
  StorePosition,
  type StoreResponse,
} from "../coordination/eras/mod.ts";
import type { StoreEntry } from "../protocol/store.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";

/** Options of an {@linkcode EraGate}. */
export interface EraGateOptions {
  readonly routes: RouteTableHolder;
  readonly directory: BackendDirectory;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
  /**
   * Called with the era of the store before anything of it is applied, and
   * whether the store was restored since.
   */
  readonly onEra: (era: number, isRestored: boolean) => void;
}

/**
 * Lets responses of the store through by their era, and logs a restore.
 *
 * @example
 * ```ts ignore
 * if (gate.enter(response) === ResponseUse.Drop) return;
 * ```
 */
export class EraGate {
  readonly #options: EraGateOptions;
  readonly #position = new StorePosition();

  /**
   * Creates a gate that knows no era.
   *
   * @param options What a restore concerns.
   */
  constructor(options: EraGateOptions) {
    this.#options = options;
  }

  /** Era of the store; `undefined` if it names none. */
  get era(): number | undefined {
    return this.#position.era;
  }

  /**
   * Returns whether an entry may come from the copy of a store.
   *
   * @param entry The entry, of this era.
   * @returns Whether it may.
   */
  mayBeOutdated(entry: StoreEntry): boolean {
    return this.#position.mayBeOutdated(entry.modRevision);
  }

  /**
   * Returns whether a response beside the polls is of an earlier era.
   *
   * @param era Its era.
   * @returns Whether it is.
   */
  isEarlier(era: number | undefined): boolean {
    const isEarlier = compareEras(era, this.era) === EraOrder.Earlier;
    if (isEarlier) this.#logDropped(era);
    return isEarlier;
  }

  /**
   * Decides about a response, and announces its era before it is applied.
   *
   * @param response The response.
   * @returns What is to be done with it.
   */
  enter(response: StoreResponse): ResponseUse {
    const former = this.#position.era;
    const use = this.#position.use(response);
    const { era } = this.#position;
    if (use === ResponseUse.Drop) this.#logDropped(response.era);
    if (era === undefined || era === former) return use;
    const isRestored = use === ResponseUse.Replace;
    if (isRestored) {
      const { log, metrics, directory, routes } = this.#options;
      metrics.count("store_restores_total");
      log.warn("store-restored", {
        era,
        former,
        revision: response.revision,
        daemons: directory.size,
        version: routes.version,
      });
    }
    this.#options.onEra(era, isRestored);
    return use;
  }

  #logDropped(era: number | undefined): void {
    this.#options.log.warn("store-response-dropped", { era, known: this.era });
  }
}
