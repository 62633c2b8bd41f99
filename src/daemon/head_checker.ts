import { hash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { LRUCache } from "lru-cache";
import { checkKey } from "../coordination/claims/idempotency_key.ts";
import { Delivery } from "../protocol/config_schema.ts";
import {
  HEADER_IDEMPOTENCY_KEY,
  HEADER_PARENT,
  HEADER_TIMEOUT_MS,
} from "../protocol/headers.ts";
import {
  notRun,
  Reason,
  type Refusal,
  unknownOutcome,
} from "../protocol/outcome.ts";
import type {
  ConfigSnapshot,
  ResolvedCaller,
  ResolvedRoute,
} from "../state/config_snapshot.ts";
import type { ConfigStore } from "../state/config_store.ts";
import { singleHeader } from "../transport/http/header_filter.ts";
import { monotonicMs } from "./clocks.ts";
import type { Destination, ParentCall } from "./destination.ts";

/** Deepest nesting of calls. */
export const MAX_DEPTH = 32;
/** Credentials whose digests are remembered. */
const MAX_DIGESTS = 2_000;
/** Longest credential, in characters. */
const MAX_TOKEN_LENGTH = 512;

/** A call that passed the checks of its head. */
export interface CheckedHead {
  readonly route: ResolvedRoute;
  readonly caller: ResolvedCaller;
  readonly parent: ParentCall | undefined;
  readonly deadlineMs: number;
}

/** A checked head, or why the request is refused. */
export type HeadCheck =
  | { readonly kind: "checked"; readonly head: CheckedHead }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** What a {@linkcode HeadChecker} needs. */
export interface HeadCheckerOptions {
  readonly config: ConfigStore;
  readonly destination: Destination;
  readonly claimWindowMs: number;
}

/**
 * Checks credential, route, approval, idempotency key and time of a request.
 *
 * @example
 * ```ts ignore
 * const check = checker.check(request);
 * ```
 */
export class HeadChecker {
  readonly #options: HeadCheckerOptions;
  readonly #digests = new LRUCache<string, string>({ max: MAX_DIGESTS });

  /**
   * Creates a checker.
   *
   * @param options Configuration and destination.
   */
  constructor(options: HeadCheckerOptions) {
    this.#options = options;
  }

  /**
   * Checks the head of a request.
   *
   * @param request The request.
   * @returns The checked head, or why the request is refused.
   */
  check(request: IncomingMessage): HeadCheck {
    const { snapshot } = this.#options.config;
    if (snapshot === undefined) return refused(notRun(Reason.NotReady));
    const caller = this.#callerOf(snapshot, request);
    if (caller === undefined) return refused(notRun(Reason.UnknownCaller));
    const path = request.url!.split("?", 1)[0]!;
    const route = snapshot.findRoute(request.method!, path);
    if (route === undefined) return refused(notRun(Reason.NoRoute));
    if (!snapshot.isApproved(caller.name, route.serviceName)) {
      return refused(notRun(Reason.NotApproved));
    }
    const refusal = this.#checkIdempotencyKey(route, request);
    if (refusal !== undefined) return refused(refusal);
    return this.#checkTime(request, route, caller);
  }

  #checkIdempotencyKey(
    route: ResolvedRoute,
    request: IncomingMessage,
  ): Refusal | undefined {
    if (route.service.delivery !== Delivery.AtMostOnce) return undefined;
    const verdict = checkKey(
      singleHeader(request.headers, HEADER_IDEMPOTENCY_KEY),
      this.#options.claimWindowMs,
      Date.now(),
    );
    if (verdict.kind === "usable") return undefined;
    // An expired key may belong to a request that ran.
    return verdict.reason === Reason.KeyExpired
      ? unknownOutcome(verdict.reason)
      : notRun(verdict.reason);
  }

  #checkTime(
    request: IncomingMessage,
    route: ResolvedRoute,
    caller: ResolvedCaller,
  ): HeadCheck {
    const parentId = singleHeader(request.headers, HEADER_PARENT);
    const parent = parentId === undefined
      ? undefined
      : this.#options.destination.parent(parentId);
    const asked = singleHeader(request.headers, HEADER_TIMEOUT_MS);
    const askedMs = asked === undefined ? Infinity : Number(asked);
    if (!(askedMs > 0)) return refused(notRun(Reason.HeaderInvalid));
    if ((parent?.depth ?? 0) >= MAX_DEPTH) {
      return refused(notRun(Reason.HeaderInvalid));
    }
    const timeoutMs = Math.min(askedMs, route.service.timeoutMs);
    const deadlineMs = Math.min(
      monotonicMs() + timeoutMs,
      parent?.deadlineMs ?? Infinity,
    );
    return { kind: "checked", head: { route, caller, parent, deadlineMs } };
  }

  #callerOf(
    snapshot: ConfigSnapshot,
    request: IncomingMessage,
  ): ResolvedCaller | undefined {
    const [scheme, token] = (request.headers.authorization ?? "").split(" ", 2);
    if (scheme?.toLowerCase() !== "bearer" || token === undefined) {
      return undefined;
    }
    if (token.length > MAX_TOKEN_LENGTH) return undefined;
    let digest = this.#digests.get(token);
    if (digest === undefined) {
      digest = hash("sha256", token, "hex");
      this.#digests.set(token, digest);
    }
    return snapshot.findCaller(digest);
  }
}

function refused(refusal: Refusal): HeadCheck {
  return { kind: "refused", refusal };
}
