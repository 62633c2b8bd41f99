import { OrganisationThrottle } from "../coordination/retry/organisation_throttle.ts";
import { MeshReason } from "../protocol/mesh_call.ts";
import type { Random } from "../protocol/random.ts";
import type { ForwardResult } from "./forward_types.ts";

/** Reason of a refusal by the throttle. */
const THROTTLED = "throttled";
/** Mean Retry-After value of such a refusal, in ms. */
const RETRY_AFTER_MS = 750;
/** Largest relative deviation from it, which spreads retries over time. */
const RETRY_AFTER_JITTER = 0.5;

/** Refusals by which destinations say that they lack capacity. */
const OVERLOAD_REASONS: ReadonlySet<string> = new Set([
  MeshReason.Overloaded,
  MeshReason.Expired,
]);

/** What a request counts for. */
export interface ForwardedRequest {
  readonly service: string;
  /** Organisation of the caller, if it has one. */
  readonly organisation: string | undefined;
}

/**
 * Forwards requests, but refuses some of an organisation of which most are
 * refused by the destinations.
 *
 * @example
 * ```ts ignore
 * const throttle = new ThrottledForwarding(random);
 * await throttle.run({ service, organisation: "a" }, () => forwarder.run(cancel));
 * ```
 */
export class ThrottledForwarding {
  readonly #random: Random;
  readonly #throttle = new OrganisationThrottle();

  /**
   * Creates a throttle that has seen no request.
   *
   * @param random Source of the choice among requests.
   */
  constructor(random: Random) {
    this.#random = random;
  }

  /**
   * Forwards or refuses a request.
   *
   * @param request The request; it is forwarded if it has no organisation.
   * @param forward Forwards it.
   * @returns The result.
   */
  async run(
    { service, organisation }: ForwardedRequest,
    forward: () => Promise<ForwardResult>,
  ): Promise<ForwardResult> {
    if (organisation === undefined) return forward();
    const request = { service, organisation };
    const fraction = this.#random.fraction();
    if (!this.#throttle.admits(request, fraction, performance.now())) {
      return this.#buildRefusal();
    }
    const result = await forward();
    const isRefused = result.kind === "refused";
    if (!isRefused || OVERLOAD_REASONS.has(result.reason)) {
      this.#throttle.record(request, !isRefused, performance.now());
    }
    return result;
  }

  #buildRefusal(): ForwardResult {
    const deviation = (2 * this.#random.fraction() - 1) * RETRY_AFTER_JITTER;
    return {
      kind: "refused",
      reason: THROTTLED,
      retryAfterMs: RETRY_AFTER_MS * (1 + deviation),
    };
  }
}
