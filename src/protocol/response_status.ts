const MIN_STATUS = 100;
const MAX_STATUS = 599;

/**
 * Reports whether a status is one of HTTP; a response with another is none.
 *
 * @param status The status.
 * @returns Whether it is.
 *
 * @example
 * ```ts
 * isHttpStatus(700); // false
 * ```
 */
export function isHttpStatus(status: number): boolean {
  return status >= MIN_STATUS && status <= MAX_STATUS;
}
