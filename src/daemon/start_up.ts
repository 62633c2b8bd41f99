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

/** Contacts that a newcomer asks at the same time. */
const MAX_JOIN_CONTACTS = 3;
/** Peers that must answer where the store does not. */
const MIN_PEERS = 2;
/** Time after which one witness is enough, in ms. */
const SINGLE_PEER_AFTER_MS = 5_000;
/** Pauses between attempts, in ms. */
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 3_000;

/** What {@linkcode startUp} works on. */
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
  /** Monotonic time of the start. */
  readonly startedAtMs: number;
}

/**
 * Joins the fleet and gets a configuration that is not older than any that
 * this instance held before.
 *
 * With the store in reach, the accepted version is the floor. Without it,
 * peers have to vouch: they tell what they last saw this instance hold, and
 * nothing lower is adopted. With neither, the daemon serves nothing.
 *
 * @param options The daemon's parts.
 * @returns Once a first attempt ended; it goes on in the background.
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
    // Full jitter keeps a herd of newcomers apart.
    await sleep(options.random.fraction() * pauseMs);
    pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
    if (await attemptStartUp(options)) return;
  }
}

/** Returns whether nothing is left to do. */
async function attemptStartUp(options: StartUpOptions): Promise<boolean> {
  const { reader, configTask, config } = options;
  const [head, storedContacts] = await Promise.all([
    reader.readHead(),
    reader.readContacts(),
  ]);
  const isStoreDown = head instanceof StepError;
  if (!isStoreDown) {
    configTask.raiseFloor(head?.version ?? 0);
    configTask.confirmFloor();
  }
  const contacts = chooseContacts(options, storedContacts);
  if (await joinFleet(options, contacts)) configTask.confirmFloor();
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

/** Returns whether enough peers vouched for a floor. */
async function joinFleet(
  options: StartUpOptions,
  contacts: readonly string[],
): Promise<boolean> {
  const { gossip, configTask, log } = options;
  const versions = await gossip.join(contacts);
  for (const version of versions) configTask.raiseFloor(version);
  log.info("fleet-joined", {
    contacts: contacts.length,
    answered: versions.length,
    floor: configTask.floorVersion,
  });
  // A lone survivor counts once others would have told it what they knew.
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

/** Reads the store's copy where no peer had it. */
async function readFromStore(
  options: StartUpOptions,
  head: HeadRecord | undefined,
): Promise<boolean> {
  if (head === undefined || options.config.version > 0) return true;
  return await options.reader.adoptHead(head);
}
