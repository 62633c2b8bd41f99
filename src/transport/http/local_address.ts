/**
 * Returns the socket option for an address that connections come from.
 *
 * @param sourceAddress IP address; any where absent.
 * @returns The option, to be spread into others.
 *
 * @example
 * ```ts
 * localAddressOf(undefined); // {}
 * ```
 */
export function localAddressOf(
  sourceAddress: string | undefined,
): { localAddress?: string } {
  return sourceAddress === undefined ? {} : { localAddress: sourceAddress };
}
