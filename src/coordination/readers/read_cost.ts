/** Time of a transfer from which versions may come faster than they cross. */
const SLOW_TRANSFER_MS = 200;
/** The store sends values in base64. */
const BYTES_PER_VALUE_BYTE = 4 / 3;
const BITS_PER_BYTE = 8;
const BITS_PER_MBPS_MS = 1_000;

/**
 * Returns whether a value takes long to come from the store. A poll transfers
 * each version since the last one in full, a listing only the newest, so over
 * such a link a series of versions is listed.
 *
 * @param valueBytes Size of the value.
 * @param linkMbps Bandwidth of the daemon's link, in Mbit/s; 0 if unknown.
 * @returns Whether it does.
 *
 * @example
 * ```ts
 * isSlowRead(310_000, 4.9); // true
 * ```
 */
export function isSlowRead(valueBytes: number, linkMbps: number): boolean {
  const bits = valueBytes * BYTES_PER_VALUE_BYTE * BITS_PER_BYTE;
  return linkMbps > 0 && bits / (linkMbps * BITS_PER_MBPS_MS) >=
      SLOW_TRANSFER_MS;
}
