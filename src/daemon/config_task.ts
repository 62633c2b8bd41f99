import { create } from "@bufbuild/protobuf";
import {
  checkDelta,
  type CheckedVersion,
} from "../coordination/config/check_delta.ts";
import type { Membership } from "../coordination/membership/membership.ts";
import {
  type ConfigDelta,
  type Member,
  type PullConfigRequest,
  type PushConfigRequest,
  PushConfigRequestSchema,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import type { Random } from "../protocol/random.ts";
import { FailureKind, type StepError } from "../protocol/step_error.ts";
import type { ConfigStore } from "../state/config_store.ts";
import type { FleetClients } from "../transport/control/fleet_client.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { Metrics } from "../transport/observe/metrics.ts";
import type { FleetBus } from "./fleet_bus.ts";
import { controlAddress } from "./control_address.ts";

/** Peers in the same domain to which a new version is pushed. */
const PUSH_FANOUT = 4;
/** Largest delta that is included in a push, in bytes. */
const MAX_INLINE_DELTA_BYTES = 32 * 1024;
/** Timeout of a pull, in ms. */
const PULL_TIMEOUT_MS = 5_000;
/** Timeout of a push, in ms. */
const PUSH_TIMEOUT_MS = 1_000;

/** Longest wait for a peer to hold a version before it is adopted, in ms. */
const PRE_ADOPTION_TIMEOUT_MS = 300;

/** Options of a {@linkcode ConfigTask}. */
export interface ConfigTaskOptions {
  readonly site: string;
  readonly config: ConfigStore;
  readonly membership: Membership;
  readonly clients: FleetClients;
  readonly bus: FleetBus;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly random: Random;
}

/** The source of a version. */
export type ConfigOrigin = "store" | "push" | "pull";

/**
 * Puts configuration versions in force and distributes them to peers.
 *
 * @example
 * ```ts ignore
 * const task = new ConfigTask(options);
 * task.adopt(checked, "store");
 * ```
 */
export class ConfigTask {
  readonly #options: ConfigTaskOptions;
  #minVersion = 0;
  #isMinVersionKnown = false;
  #pulling: Promise<void> | undefined;

  /**
   * Creates a task that subscribes to the bus.
   *
   * @param options Dependencies.
   */
  constructor(options: ConfigTaskOptions) {
    this.#options = options;
    options.bus.on("newerVersionSeen", ({ address }) => this.pull(address));
  }

  /** Lowest version that may be adopted. */
  get minVersion(): number {
    return this.#minVersion;
  }

  /**
   * Raises the lowest version that may be adopted.
   *
   * @param version A version that this instance held before.
   */
  raiseMinVersion(version: number): void {
    this.#minVersion = Math.max(this.#minVersion, version);
  }

  /** Allows adoption from now on, as the minimum version is known. */
  confirmMinVersion(): void {
    this.#isMinVersionKnown = true;
  }

  /**
   * Puts a checked version in force and pushes it to peers.
   *
   * @param checked The version.
   * @param origin Source of the version.
   * @returns Whether it was adopted; false if it is not newer, is below the
   * minimum version, or the minimum version is not known yet.
   */
  adopt(checked: CheckedVersion, origin: ConfigOrigin): boolean {
    const { config, log, metrics, bus } = this.#options;
    const { version } = checked.snapshot;
    const isOutdated = version <= config.version ||
      version < this.#minVersion;
    if (isOutdated || !this.#isMinVersionKnown) {
      log.info("config-ignored", {
        version,
        in_force: config.version,
        floor: this.#isMinVersionKnown ? this.#minVersion : "unknown",
        origin,
      });
      return false;
    }
    const previous = config.version;
    config.adopt(checked.snapshot, checked.resources, Date.now());
    log.info("config-adopted", {
      version,
      previous,
      origin,
      digest: config.digest,
      resources: checked.resources.size,
    });
    metrics.gauge("config.version", version);
    void bus.emit("configAdopted", { version });
    this.#push();
    return true;
  }

  /**
   * Puts a version from the store in force once a peer holds it too.
   *
   * Otherwise a daemon that alone adopted a version and then restarts could
   * find no peer that knows the version. Without peers it does not wait.
   *
   * @param checked The version.
   * @returns Whether it was adopted.
   */
  async adoptFromStore(checked: CheckedVersion): Promise<boolean> {
    const { config } = this.#options;
    const { version } = checked.snapshot;
    if (config.version > 0 && version > config.version) {
      const delta = config.resources.deltaTo(checked.resources, {
        fromVersion: config.version,
        toVersion: version,
      });
      await this.#pushBeforeAdoption(delta);
    }
    return this.adopt(checked, "store");
  }

  /**
   * Fetches a newer version from a peer. One pull runs at a time.
   *
   * @param address Control address of the peer.
   * @returns Once the running pull has ended.
   */
  pull(address: string): Promise<void> {
    this.#pulling ??= this.#pullOnce(address).finally(() => {
      this.#pulling = undefined;
    });
    return this.#pulling;
  }

  /**
   * Handles a peer's push of a version.
   *
   * @param request The push.
   * @returns The version in force afterwards.
   */
  async onPush(request: PushConfigRequest): Promise<number> {
    const { config } = this.#options;
    if (request.version <= config.version) return config.version;
    const isDirectSuccessor = request.delta?.fromVersion === config.version;
    if (request.delta !== undefined && isDirectSuccessor) {
      this.#apply(request.delta, "push", request.senderId);
    } else {
      await this.pull(request.controlUrl);
    }
    return config.version;
  }

  /**
   * Handles a peer's pull.
   *
   * @param request The peer's version.
   * @returns The delta from it to the version in force.
   */
  onPull(request: PullConfigRequest): ConfigDelta {
    return this.#options.config
      .deltaFrom(request.haveVersion, request.haveDigest);
  }

  async #pullOnce(address: string): Promise<void> {
    const { config, clients, membership } = this.#options;
    const result = await clients.call(
      address,
      "pull-config",
      (peer, options) =>
        peer.pullConfig({
          senderId: membership.self.id,
          haveVersion: config.version,
          haveDigest: config.digest,
        }, options),
      { timeoutMs: PULL_TIMEOUT_MS },
    );
    if (result.isErr()) return this.#report(result.error, address);
    const delta = result.value.delta;
    if (delta !== undefined) this.#apply(delta, "pull", address);
  }

  #apply(delta: ConfigDelta, origin: ConfigOrigin, peer: string): void {
    const checked = checkDelta(this.#options.config, delta, {
      site: this.#options.site,
      minVersion: this.#minVersion,
    });
    if (checked.isErr()) return this.#report(checked.error, peer);
    if (checked.value !== undefined) this.adopt(checked.value, origin);
  }

  #report(error: StepError, peer: string): void {
    const isInvalid = error.kind === FailureKind.Invalid;
    const event = isInvalid ? "config-rejected" : "config-pull-failed";
    this.#options.log.warn(event, {
      step: error.step,
      peer,
      error: error.message,
      in_force: this.#options.config.version,
    });
  }

  /** Pushes a version and waits until a peer holds it, or for the timeout. */
  async #pushBeforeAdoption(delta: ConfigDelta): Promise<void> {
    const targets = this.#pushTargets();
    if (targets.length === 0 || sizeOf(delta) > MAX_INLINE_DELTA_BYTES) return;
    const request = this.#createPushRequest(
      delta.toVersion,
      delta.digest,
      delta,
    );
    const confirmations = targets.map(async (target) => {
      const result = await this.#send(target, request, PRE_ADOPTION_TIMEOUT_MS);
      if (result.isErr() || result.value.version < delta.toVersion) {
        throw new Error("the peer does not hold the version");
      }
    });
    await Promise.any(confirmations).catch(() => {});
  }

  /** Pushes the version in force to some domain peers and bridge partners. */
  #push(): void {
    const { config } = this.#options;
    const delta = config.lastDelta;
    const isSmall = delta !== undefined &&
      sizeOf(delta) <= MAX_INLINE_DELTA_BYTES;
    const request = this.#createPushRequest(
      config.version,
      config.digest,
      isSmall ? delta : undefined,
    );
    for (const target of this.#pushTargets()) {
      void this.#send(target, request, PUSH_TIMEOUT_MS);
    }
  }

  #createPushRequest(
    version: number,
    digest: string,
    delta: ConfigDelta | undefined,
  ): PushConfigRequest {
    const { self } = this.#options.membership;
    return create(PushConfigRequestSchema, {
      senderId: self.id,
      version,
      digest,
      ...(delta === undefined ? {} : { delta }),
      controlUrl: controlAddress(self),
    });
  }

  #send(target: Member, request: PushConfigRequest, timeoutMs: number) {
    return this.#options.clients.call(
      controlAddress(target),
      "push-config",
      (peer, options) => peer.pushConfig(request, options),
      { timeoutMs },
    );
  }

  #pushTargets(): Member[] {
    const { membership, random } = this.#options;
    const local = random.sample(membership.domainPeers(), PUSH_FANOUT);
    return [...local, ...membership.bridgePartners()];
  }
}

function sizeOf(delta: ConfigDelta): number {
  return delta.puts.reduce(
    (sum, { key, body }) => sum + key.length + body.length,
    delta.removes.reduce((sum, key) => sum + key.length, 0),
  );
}
