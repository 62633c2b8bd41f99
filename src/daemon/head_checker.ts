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

/** Deepest allowed nesting of calls. */
export const MAX_CALL_DEPTH = 32;
/** Most credentials whose digests are cached. */
const MAX_CACHED_DIGESTS = 2_000;
/** Longest credential, in characters. */
const MAX_TOKEN_LENGTH = 512;

/** Values read from a request head that passed all checks. */
export interface CheckedHead {
  readonly route: ResolvedRoute;
  readonly caller: ResolvedCaller;
  readonly parent: ParentCall | undefined;
  readonly deadlineMs: number;
}

/** Result of the checks: a valid head, or the refusal of the request. */
export type HeadCheck =
  | { readonly kind: "checked"; readonly head: CheckedHead }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Options of a {@linkcode HeadChecker}. */
export interface HeadCheckerOptions {
  readonly config: ConfigStore;
  readonly destination: Destination;
  readonly claimWindowMs: number;
}

/**
 * Checks the credential, route, approval, idempotency key and timeout of a
 * request.
 *
 * @example
 * ```ts ignore
 * const check = checker.check(request);
 * ```
 */
export class HeadChecker {
  readonly #options: HeadCheckerOptions;
  readonly #digests = new LRUCache<string, string>({ max: MAX_CACHED_DIGESTS });

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
   * @returns The checked head, or the refusal of the request.
   */
  check(request: IncomingMessage): HeadCheck {
    const { snapshot } = this.#options.config;
    if (snapshot === undefined) return refuse(notRun(Reason.NotReady));
    const caller = this.#callerOf(snapshot, request);
    if (caller === undefined) return refuse(notRun(Reason.UnknownCaller));
    const path = request.url!.split("?", 1)[0]!;
    const route = snapshot.findRoute(request.method!, path);
    if (route === undefined) return refuse(notRun(Reason.NoRoute));
    if (!snapshot.isApproved(caller.name, route.serviceName)) {
      return refuse(notRun(Reason.NotApproved));
    }
    const refusal = this.#checkIdempotencyKey(route, request);
    if (refusal !== undefined) return refuse(refusal);
    return this.#checkTimeout(request, route, caller);
  }

  #checkIdempotencyKey(
    route: ResolvedRoute,
    request: IncomingMessage,
  ): Refusal | undefined {
    if (route.service.delivery !== Delivery.AtMostOnce) return undefined;
    const keyCheck = checkKey(
      singleHeader(request.headers, HEADER_IDEMPOTENCY_KEY),
      this.#options.claimWindowMs,
      Date.now(),
    );
    if (keyCheck.kind === "usable") return undefined;
    // The claim of an expired key may be deleted already, so the request may
    // have run before.
    return keyCheck.reason === Reason.KeyExpired
      ? unknownOutcome(keyCheck.reason)
      : notRun(keyCheck.reason);
  }

  #checkTimeout(
    request: IncomingMessage,
    route: ResolvedRoute,
    caller: ResolvedCaller,
  ): HeadCheck {
    const parentId = singleHeader(request.headers, HEADER_PARENT);
    const parent = parentId === undefined
      ? undefined
      : this.#options.destination.findParent(parentId);
    const requested = singleHeader(request.headers, HEADER_TIMEOUT_MS);
    const requestedMs = requested === undefined ? Infinity : Number(requested);
    if (!(requestedMs > 0)) return refuse(notRun(Reason.HeaderInvalid));
    if ((parent?.depth ?? 0) >= MAX_CALL_DEPTH) {
      return refuse(notRun(Reason.HeaderInvalid));
    }
    const timeoutMs = Math.min(requestedMs, route.service.timeoutMs);
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

function refuse(refusal: Refusal): HeadCheck {
  return { kind: "refused", refusal };
}
