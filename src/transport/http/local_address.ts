/**
 * Returns the socket option that sets the source address of connections.
 *
 * @param sourceAddress IP address; `undefined` for any.
 * @returns The option, to be spread into other options.
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
