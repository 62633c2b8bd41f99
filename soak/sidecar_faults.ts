import { Buffer } from "node:buffer";
import type { StoreCopy } from "../platform/fakes/kv_data.ts";
import { type KvServer, StoreFault } from "../platform/fakes/kv_server.ts";
import type { Random } from "../src/protocol/random.ts";
import { BodyForm, BodySender } from "../testkit/body_sender.ts";
import type { SoakInstance } from "./instance.ts";
import type { Organisations } from "./organisations.ts";
import { KEY_HEADER, type SoakOrganisation } from "./sidecar_checks.ts";

/** Time for which a lowered limit holds, in ms: more than one window. */
const LOWERED_MS = 8_000;
/** Clients that send large bodies to a daemon at the same time. */
const BODY_CLIENTS = 6;
/** Forms of the bodies; all stop before the end. */
const BODY_FORMS = [
  BodyForm.OneByteShort,
  BodyForm.Pieces,
  BodyForm.LargeChunks,
  BodyForm.TinyChunks,
];
/** Prefix of the entries that the operator writes. */
const OPERATOR_PREFIX = "op/";
/** Part of the duration of a fault for which a killed daemon is down. */
const DOWN_SHARE = 1 / 4;

/** Targets of faults, and the records of them. */
export interface SidecarFaultContext {
  readonly store: KvServer;
  readonly random: Random;
  readonly organisations: Organisations;
  /** Writes the next version of the configuration. */
  readonly writeConfig: () => void;
  /** Sends many requests of an organisation for a time in ms. */
  readonly flood: (organisation: SoakOrganisation, forMs: number) => void;
  /** Starts a rollout; `false` if there is one already. */
  readonly startRollout: (isBad: boolean) => boolean;
  /** Called with each client that stops within its body. */
  readonly onBodyClient: () => void;
}

/**
 * Starts a fault that ends by itself after about the given time, in ms; returns
 * `false` if it cannot be injected now.
 */
export type SidecarFaultStarter = (lastsMs: number) => boolean;

/**
 * Creates the faults of the features that a configuration enables.
 *
 * @param instance Instance at which those of a single daemon are injected.
 * @param context Targets of the faults.
 * @returns Starters of the faults, by name.
 */
export function createSidecarFaults(
  instance: SoakInstance,
  context: SidecarFaultContext,
): Readonly<Record<string, SidecarFaultStarter>> {
  const { organisations, random, writeConfig } = context;
  const writeIf = (isChanged: boolean) => {
    if (isChanged) writeConfig();
    return isChanged;
  };
  return {
    "key-removed": () => writeIf(organisations.removeKey(random)),
    "key-added": () => writeIf(organisations.addKey(random)),
    "organisation-floods": (lastsMs) => {
      context.flood(organisations.pickLimited(random), lastsMs);
      return true;
    },
    "quota-lowered": () => {
      const { name } = organisations.pickLimited(random);
      if (!writeIf(organisations.lowerQuota(name))) return false;
      setTimeout(() => {
        organisations.restoreQuota(name);
        writeConfig();
      }, LOWERED_MS);
      return true;
    },
    "rollout-good": () => context.startRollout(false),
    "rollout-bad": () => context.startRollout(true),
    "daemon-killed": (lastsMs) => {
      if (!instance.isRunning || instance.isStopping) return false;
      void instance.crash(lastsMs * DOWN_SHARE);
      return true;
    },
    "daemon-restarted": () => {
      if (!instance.isRunning || instance.isStopping) return false;
      void instance.restart();
      return true;
    },
    "clients-stop-within-bodies": (lastsMs) => {
      if (!instance.isRunning) return false;
      sendBodies(instance, context, lastsMs);
      return true;
    },
    ...storeFaults(context),
  };
}

function storeFaults(
  { store }: SidecarFaultContext,
): Record<string, SidecarFaultStarter> {
  const storeFault = (fault: StoreFault): SidecarFaultStarter => (lastsMs) => {
    if (store.fault !== StoreFault.None) return false;
    store.fault = fault;
    setTimeout(() => store.fault = StoreFault.None, lastsMs);
    return true;
  };
  return {
    "store-busy": storeFault(StoreFault.Busy),
    "store-silent": storeFault(StoreFault.Silent),
    "store-restored": (lastsMs) => {
      const copy = store.copy();
      setTimeout(() => restoreStore(store, copy), lastsMs);
      return true;
    },
  };
}

/** Restores the store; the operator writes its own entries again. */
function restoreStore(store: KvServer, copy: StoreCopy): void {
  const entries = store.copy().items
    .filter(({ Key }) => Key.startsWith(OPERATOR_PREFIX));
  store.restore(copy);
  for (const { Key, Value } of entries) {
    store.put(Key, Buffer.from(Value, "base64").toString());
  }
}

function sendBodies(
  instance: SoakInstance,
  { random, organisations, onBodyClient }: SidecarFaultContext,
  lastsMs: number,
): void {
  for (let index = 0; index < BODY_CLIENTS; index++) {
    onBodyClient();
    const client = new BodySender(instance.ingressPort, "127.0.0.1");
    const head = "POST /orders/unfinished HTTP/1.1\r\nhost: shop.example\r\n" +
      `x-attempt-id: unfinished-${index}\r\nx-deadline-ms: 4000\r\n` +
      `${KEY_HEADER}: ${organisations.pickKey(random)}\r\n`;
    void client.send(head, random.pick(BODY_FORMS)!);
    setTimeout(() => client.close(), lastsMs);
  }
}
