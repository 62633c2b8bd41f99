import { setTimeout as sleep } from "node:timers/promises";
import type { Membership } from "../coordination/membership/membership.ts";
import type { HeadRecord } from "../coordination/config/head_record.ts";
import type { Random } from "../protocol/random.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import { StepError } from "../protocol/step_error.ts";
import type { ConfigStore } from "../state/config_store.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { ConfigTask } from "./config_task.ts";
import { monotonicMs } from "./clocks.ts";
import { controlAddress } from "./control_address.ts";
import type { GossipTask } from "./gossip_task.ts";
import type { ReaderTask } from "./reader_task.ts";

/** Most contacts that are used in one attempt. */
const MAX_JOIN_CONTACTS = 3;
/** Peers that have to confirm the minimum version while the store is down. */
const MIN_PEERS = 2;
/** Time after which one peer is enough, in ms. */
const SINGLE_PEER_AFTER_MS = 5_000;
/** Bounds of the pause between attempts, in ms. */
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 3_000;

/** Options of {@linkcode startUp}. */
export interface StartUpOptions {
  readonly settings: Settings;
  readonly membership: Membership;
  readonly gossip: GossipTask;
  readonly reader: ReaderTask;
  readonly configTask: ConfigTask;
  readonly config: ConfigStore;
  readonly log: EventLog;
  readonly random: Random;
  readonly isStopped: () => boolean;
  /** Monotonic time at which the daemon started. */
  readonly startedAtMs: number;
}

/**
 * Joins the fleet and adopts a configuration that is no older than any that
 * this instance held before.
 *
 * If the store is reachable, its accepted version is the minimum version that
 * may be adopted. Otherwise the minimum is the highest version that peers last
 * saw this instance hold. With neither, the daemon serves no requests.
 *
 * @param options Parts of the daemon.
 * @returns Once the first attempt has ended; retries run in the background.
 *
 * @example
 * ```ts ignore
 * await startUp(parts);
 * ```
 */
export async function startUp(options: StartUpOptions): Promise<void> {
  if (await attemptStartUp(options)) return;
  void retryStartUp(options);
}

async function retryStartUp(options: StartUpOptions): Promise<void> {
  let pauseMs = MIN_PAUSE_MS;
  while (!options.isStopped() && options.config.version === 0) {
    // Full jitter avoids a thundering herd of daemons that start together.
    await sleep(options.random.fraction() * pauseMs);
    pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
    if (await attemptStartUp(options)) return;
  }
}

/** Returns whether the start is complete. */
async function attemptStartUp(options: StartUpOptions): Promise<boolean> {
  const { reader, configTask, config } = options;
  const [head, storedContacts] = await Promise.all([
    reader.readHead(),
    reader.readContacts(),
  ]);
  const isStoreDown = head instanceof StepError;
  if (!isStoreDown) {
    configTask.raiseMinVersion(head?.version ?? 0);
    configTask.confirmMinVersion();
  }
  const contacts = chooseContacts(options, storedContacts);
  if (await joinFleet(options, contacts)) configTask.confirmMinVersion();
  await pullFrom(options, contacts);
  if (isStoreDown) return config.version > 0;
  return await readFromStore(options, head);
}

function chooseContacts(
  options: StartUpOptions,
  storedContacts: readonly string[],
): string[] {
  const { settings, membership } = options;
  const ownAddress = controlAddress(membership.self);
  const knownAddresses = membership.domainPeers().map(controlAddress);
  const candidates = new Set([
    ...storedContacts,
    ...settings.contacts,
    ...knownAddresses,
  ]);
  candidates.delete(ownAddress);
  return options.random.sample([...candidates], MAX_JOIN_CONTACTS);
}

/** Returns whether enough peers answered to confirm the minimum version. */
async function joinFleet(
  options: StartUpOptions,
  contacts: readonly string[],
): Promise<boolean> {
  const { gossip, configTask, log } = options;
  const versions = await gossip.join(contacts);
  for (const version of versions) configTask.raiseMinVersion(version);
  log.info("fleet-joined", {
    contacts: contacts.length,
    answered: versions.length,
    floor: configTask.minVersion,
  });
  // By then, a single remaining peer has learned what the others knew.
  const isSinglePeerEnough =
    monotonicMs() - options.startedAtMs > SINGLE_PEER_AFTER_MS;
  const requiredPeers = isSinglePeerEnough
    ? 1
    : Math.min(MIN_PEERS, contacts.length);
  return versions.length >= Math.max(1, requiredPeers);
}

async function pullFrom(
  options: StartUpOptions,
  contacts: readonly string[],
): Promise<void> {
  for (const address of contacts) {
    if (options.config.version > 0) return;
    await options.configTask.pull(address);
  }
}

/** Reads the version from the store if no peer had it. */
async function readFromStore(
  options: StartUpOptions,
  head: HeadRecord | undefined,
): Promise<boolean> {
  if (head === undefined || options.config.version > 0) return true;
  return await options.reader.adoptHead(head);
}
