import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  ReturnFleet,
  type ReturnFleetOptions,
  type ReturnResult,
  StoreReturn,
} from "./return_fleet.ts";

/**
 * Time after its return from which the store counts as stable, in ms. Versions
 * that it accepted a second after the return or earlier are in force by then.
 */
const STABLE_MS = 3_000;
/** Probes in a second of three failure domains, whatever their size. */
const MAX_READS_PER_S = 3 * 3.5;
/** A poll and a listing of each daemon that reads the store, ten at most. */
const MAX_FIRST_READS = 20;
/**
 * For each of five versions a poll and a listing of each daemon that may read
 * the store by then: four in each of three domains.
 */
const MAX_READS_AFTER_RETURN = 120;
const MS_PER_S = 1_000;

/**
 * Absences in ms: the first loses polls that go on waiting, the others end soon
 * after the polls that were sent at the end of those.
 */
const ABSENCES_MS = [300, 4_600, 8_300];

async function measureAll(
  fleet: ReturnFleet,
  how: StoreReturn,
  absencesMs: readonly number[],
): Promise<void> {
  const late: string[] = [];
  for (const awayMs of absencesMs) {
    const result = await fleet.measure(how, awayMs);
    late.push(...findFaults(how, awayMs, result));
  }
  assert.equal(late, []);
}

function findFaults(
  how: StoreReturn,
  awayMs: number,
  result: ReturnResult,
): string[] {
  const faults: string[] = [];
  const { lastMs, lastInstance, readsWhileAway, readsAfterReturn } = result;
  if (process.env.STORE_RETURNS !== undefined) {
    const { lastOutput: _, ...figures } = result;
    console.log(how, awayMs, JSON.stringify(figures));
  }
  if (lastMs > STABLE_MS) {
    faults.push(
      `${how}, away ${awayMs} ms: ${lastMs} ms at ${lastInstance}`,
      result.lastOutput,
    );
  }
  const maxReads = MAX_FIRST_READS + MAX_READS_PER_S * awayMs / MS_PER_S;
  if (readsWhileAway > maxReads) {
    faults.push(`${how}, away ${awayMs} ms: ${readsWhileAway} reads`);
  }
  if (readsAfterReturn > MAX_READS_AFTER_RETURN) {
    faults.push(`${how}, back from ${awayMs} ms: ${readsAfterReturn} reads`);
  }
  return faults;
}

/**
 * Defines a test for each way in which the store returns.
 *
 * @param options Size and links of the fleet.
 * @param absencesMs Times for which the store is away, in ms.
 */
export function testReturns(
  options: ReturnFleetOptions,
  absencesMs: readonly number[] = ABSENCES_MS,
): void {
  const links = options.hasSlowLinks ? "slow and fast" : "fast";
  const narrowed = process.env.STORE_RETURNS?.split(",");
  for (const how of Object.values(StoreReturn)) {
    if (narrowed?.includes(how) === false) continue;
    // Guards against versions that are late at daemons which go on waiting for
    // calls that they sent before the store returned.
    test(`the newest version is in force at ${options.size} daemons on ${links} links as the store counts as stable: ${how}`, async () => {
      const fleet = await ReturnFleet.start(options);
      try {
        await measureAll(fleet, how, absencesMs);
      } finally {
        await fleet.stop();
      }
    });
  }
}
