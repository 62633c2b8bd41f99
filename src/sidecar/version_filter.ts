import type {
  VersionChoice,
  VersionGate,
} from "../coordination/rollout/mod.ts";
import type { BackendRecord } from "../protocol/mesh.ts";
import { type CallOutcome, MeshReason } from "../protocol/mesh_call.ts";
import type { Random } from "../protocol/random.ts";
import { RolloutPhase } from "../protocol/rollout.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";

/** Options of a {@linkcode VersionFilter}. */
export interface VersionFilterOptions {
  readonly directory: BackendDirectory;
  readonly random: Random;
  readonly metrics: TextMetrics;
  /** Returns the gate of a service, if its versions are known. */
  readonly gateOf: (service: string) => VersionGate | undefined;
}

/** The backend servers that a request may use. */
export interface VersionCandidates {
  readonly records: readonly BackendRecord[];
  /** Whether they are of a version that an order moves the service to. */
  readonly isTarget: boolean;
}

/**
 * Tells which backend servers a request may use by their versions, and records
 * what becomes of it.
 *
 * @example
 * ```ts ignore
 * const { records } = versions.filter("orders", ready, true);
 * ```
 */
export class VersionFilter {
  readonly #options: VersionFilterOptions;

  /**
   * Creates a filter.
   *
   * @param options Gates and directory.
   */
  constructor(options: VersionFilterOptions) {
    this.#options = options;
  }

  /**
   * Returns whether requests may use the local backend server.
   *
   * @param service Its service.
   * @param version Its version, if announced.
   * @returns False if its version is not in use.
   */
  admits(service: string, version: string | undefined): boolean {
    const gate = this.#options.gateOf(service);
    return gate === undefined ||
      gate.admits(version ?? "", performance.now());
  }

  /**
   * Leaves out the backend servers whose versions a request may not use.
   *
   * @param service The service.
   * @param records Its backend servers that accept requests.
   * @param isFirst Whether the request was not sent before.
   * @returns The others.
   */
  filter(
    service: string,
    records: readonly BackendRecord[],
    isFirst: boolean,
  ): VersionCandidates {
    const gate = this.#options.gateOf(service);
    if (gate === undefined || !gate.isRestricted) {
      return { records, isTarget: false };
    }
    const { directory, random } = this.#options;
    const choice = gate.choose({
      isFirst,
      fraction: random.fraction(),
      nowMs: performance.now(),
      daemons: directory.size,
    });
    const chosen = select(records, choice);
    const isTarget = choice.kind === "versions" && choice.isTarget;
    const isRunning = gate.record?.phase === RolloutPhase.Running;
    if (chosen.length > 0 || !isTarget || !isRunning) {
      return { records: chosen, isTarget };
    }
    const { inUse } = gate;
    return {
      records: records.filter(({ version = "" }) => inUse.has(version)),
      isTarget: false,
    };
  }

  /**
   * Counts a request that is sent.
   *
   * @param record Its backend server.
   */
  recordSend(record: BackendRecord): void {
    const gate = this.#options.gateOf(record.service);
    const targetVersion = gate?.record?.targetVersion;
    if (targetVersion === undefined || targetVersion !== record.version) return;
    gate!.recordExposed();
    this.#options.metrics.count("rollout_requests_total", {
      service: record.service,
      version: record.version,
    });
  }

  /**
   * Records the result of a request that was sent for the first time.
   *
   * @param record Its backend server.
   * @param route Name of its route.
   * @param outcome The result.
   * @param tookMs Time since it was sent, in ms.
   */
  recordOutcome(
    record: BackendRecord,
    route: string,
    outcome: CallOutcome,
    tookMs: number,
  ): void {
    const gate = this.#options.gateOf(record.service);
    if (gate?.record === undefined || outcome.kind === "not-run") return;
    // A process that has just started is slow, and late responses are failures.
    if ((record.warmAtUnixMs ?? 0) >= Date.now()) return;
    const isAnswered = outcome.kind === "answered";
    gate.recordResult({
      route,
      version: record.version ?? "",
      isFailure: isAnswered
        ? outcome.answer.status >= 500
        // The caller has left: all that is known is that it took so long.
        : outcome.reason !== MeshReason.Cancelled,
      serviceMs: isAnswered ? outcome.serviceMs : tookMs,
    });
  }
}

function select(
  records: readonly BackendRecord[],
  choice: VersionChoice,
): readonly BackendRecord[] {
  switch (choice.kind) {
    case "any":
      return records;
    case "versions":
      return records.filter(({ version = "" }) => choice.versions.has(version));
  }
}
