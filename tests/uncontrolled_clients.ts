import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { BodySender } from "../testkit/body_sender.ts";
import { ProcessUsage } from "../testkit/process_usage.ts";

/** Memory of the instance in the settings of the daemons, in MiB. */
export const MEMORY_MB = 160;
/** Anonymous memory that a daemon may use: that of its instance, in MiB. */
const MAX_ANONYMOUS_MIB = MEMORY_MB;
/** Descriptors that a daemon may have open. */
const MAX_DESCRIPTORS = 120;
/** Number of clients that send at the same time. */
const SENDERS = 12;
/** Time after which the ordinary request is sent in any case, in ms. */
const SENDING_MS = 3_000;
/** Time for which the ordinary request's caller waits, in ms. */
const ORDINARY_TIMEOUT_MS = 10_000;

/** A daemon under test, as a process. */
export interface DaemonUnderTest {
  readonly pid: number;
  readonly host: string;
  /** Sends an ordinary request; returns whether it was served. */
  readonly isServed: () => Promise<boolean>;
  readonly end: () => Promise<void>;
}

/** Sends what one client sends, until all is written or it is cut off. */
export type Send = (sender: BodySender) => Promise<void>;

/**
 * Defines a test in which clients send large bodies to a daemon that runs as a
 * process. It must stay alive, within its memory and descriptors, and serve an
 * ordinary request afterwards, while the connections are still open.
 *
 * @param name Name of the test.
 * @param start Starts a daemon.
 * @param portOf Returns the port to which the clients send.
 * @param send What each client sends.
 */
export function testClients<T extends DaemonUnderTest>(
  name: string,
  start: () => Promise<T>,
  portOf: (daemon: T) => number,
  send: Send,
): void {
  test(name, async () => {
    const daemon = await start();
    const usage = new ProcessUsage(daemon.pid);
    const senders = Array.from(
      { length: SENDERS },
      () => new BodySender(portOf(daemon), daemon.host),
    );
    try {
      await Promise.race([
        Promise.all(senders.map(send)),
        sleep(SENDING_MS),
      ]);
      const isServed = await Promise.race([
        daemon.isServed(),
        sleep(ORDINARY_TIMEOUT_MS, false),
      ]);
      usage.stop();
      const { maxAnonymousMib, maxDescriptors } = usage;
      assert.equal({
        isAlive: isAlive(daemon.pid),
        isServed,
        anonymousMib: Math.max(maxAnonymousMib, MAX_ANONYMOUS_MIB),
        descriptors: Math.max(maxDescriptors, MAX_DESCRIPTORS),
      }, {
        isAlive: true,
        isServed: true,
        anonymousMib: MAX_ANONYMOUS_MIB,
        descriptors: MAX_DESCRIPTORS,
      });
    } finally {
      usage.stop();
      if (process.env.CLIENTS_FIGURES !== undefined) {
        process.stdout.write(
          `${name}: ${usage.maxAnonymousMib.toFixed(0)} MiB, ` +
            `${usage.maxDescriptors} descriptors\n`,
        );
      }
      for (const sender of senders) sender.close();
      await daemon.end();
    }
  });
}

function isAlive(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}
