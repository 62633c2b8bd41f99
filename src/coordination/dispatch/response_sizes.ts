/** Weight of the newest sample in an average. */
const SAMPLE_WEIGHT = 0.1;

/**
 * Moving averages of the sizes of responses, by route.
 *
 * @example
 * ```ts
 * const sizes = new ResponseSizes();
 * sizes.record("plans", 90_000);
 * sizes.expectedBytes("plans"); // 90_000
 * sizes.expectedBytes("stock"); // 0
 * ```
 */
export class ResponseSizes {
  readonly #byRoute = new Map<string, number>();

  /**
   * Records a successful response.
   *
   * @param route Name of its route.
   * @param bytes Size of its body, in bytes.
   */
  record(route: string, bytes: number): void {
    const current = this.#byRoute.get(route) ?? bytes;
    this.#byRoute.set(route, current + (bytes - current) * SAMPLE_WEIGHT);
  }

  /**
   * Returns the expected size of a response.
   *
   * @param route Name of the route.
   * @returns The average size, in bytes; 0 before the first response.
   */
  expectedBytes(route: string): number {
    return this.#byRoute.get(route) ?? 0;
  }
}
