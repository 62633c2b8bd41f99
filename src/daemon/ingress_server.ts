import { hash } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { LRUCache } from "lru-cache";
import {
  type IngressCall as LimitedCall,
  IngressLimiter,
} from "../coordination/admission/ingress_limiter.ts";
import { LatencyTracker } from "../coordination/retry/latency_tracker.ts";
import { RetryBudget } from "../coordination/retry/retry_budget.ts";
import { checkKey } from "../coordination/claims/idempotency_key.ts";
import { Delivery } from "../protocol/config_schema.ts";
import {
  HEADER_IDEMPOTENCY_KEY,
  HEADER_PARENT,
  HEADER_TIMEOUT_MS,
} from "../protocol/headers.ts";
import {
  notRun,
  Outcome,
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
import {
  endToEndHeaders,
  singleHeader,
} from "../transport/http/header_filter.ts";
import { closeServer, listen } from "../transport/http/listen.ts";
import { RequestBody } from "../transport/http/request_body.ts";
import { AnswerWriter } from "./answer_writer.ts";
import { monotonicMs } from "./clocks.ts";
import type { Destination, ParentCall } from "./destination.ts";
import {
  IngressCall,
  type IngressContext,
  type ServiceEvidence,
} from "./ingress_call.ts";

/** Deepest nesting of calls. */
export const MAX_DEPTH = 32;
/** Retries that a whole call tree may make. */
const RETRIES_PER_TREE = 3;
/** Time for which an idle connection of a caller stays open, in ms. */
const IDLE_CONNECTION_MS = 60_000;
/** Longest time for a caller to send its headers, in ms. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Credentials whose digests are remembered. */
const MAX_DIGESTS = 2_000;
/** Longest credential, in characters. */
const MAX_TOKEN_LENGTH = 512;
/** Longest fingerprint that is not hashed, in characters. */
const MAX_PLAIN_FINGERPRINT = 160;
/** Headers that are not passed on. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set(["authorization"]);

/** What an {@linkcode IngressServer} needs. */
export interface IngressServerOptions {
  readonly config: ConfigStore;
  readonly destination: Destination;
  readonly context: IngressContext;
  readonly idPrefix: string;
  readonly maxRunning: number;
  readonly maxHeaderBytes: number;
  readonly claimWindowMs: number;
}

/** A call that passed the checks of its head. */
interface CheckedHead {
  readonly route: ResolvedRoute;
  readonly caller: ResolvedCaller;
  readonly parent: ParentCall | undefined;
  readonly deadlineMs: number;
}

type HeadCheck =
  | { readonly kind: "checked"; readonly head: CheckedHead }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/**
 * Serves callers, and the outgoing calls of the own backend server.
 *
 * @example
 * ```ts ignore
 * const server = new IngressServer(options);
 * await server.listen("127.0.0.1", 7001);
 * ```
 */
export class IngressServer {
  readonly #options: IngressServerOptions;
  readonly #server: Server;
  readonly #limiter: IngressLimiter;
  readonly #digests = new LRUCache<string, string>({ max: MAX_DIGESTS });
  readonly #evidence = new Map<string, ServiceEvidence>();
  #requests = 0;
  #isDraining = false;

  /**
   * Creates a server.
   *
   * @param options Its parts and bounds.
   */
  constructor(options: IngressServerOptions) {
    this.#options = options;
    this.#limiter = new IngressLimiter(options.maxRunning);
    this.#server = createServer(
      {
        keepAliveTimeout: IDLE_CONNECTION_MS,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: 0,
        maxHeaderSize: options.maxHeaderBytes,
        noDelay: true,
      },
      (request, response) => void this.#serve(request, response),
    );
    this.#server.on(
      "clientError",
      (error, socket) => this.#onClientError(error, socket as Socket),
    );
  }

  /** Calls that run. */
  get running(): number {
    return this.#limiter.running;
  }

  /**
   * Opens the port.
   *
   * @param host IP address.
   * @param port Port; 0 for any.
   * @returns The port.
   */
  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  /** Asks callers to reconnect elsewhere, with each answer. */
  drain(): void {
    this.#isDraining = true;
  }

  /** Closes the port and all connections. */
  close(): Promise<void> {
    return closeServer(this.#server);
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = `${this.#options.idPrefix}-${
      (++this.#requests).toString(36)
    }`;
    const writer = new AnswerWriter(response, requestId, {
      kind: "caller",
      isLeaving: this.#isDraining,
    });
    const check = this.#checkHead(request);
    if (check.kind === "refused") {
      return this.#refuse(request, { requestId, writer }, check.refusal);
    }
    const { head } = check;
    const limited: LimitedCall = {
      rank: head.parent?.rank ?? head.route.rank,
      caller: head.caller.name,
      callerMaxRunning: head.caller.maxRunning,
    };
    const reason = this.#limiter.enter(limited);
    if (reason !== undefined) {
      return this.#refuse(request, { requestId, writer }, notRun(reason));
    }
    let isOver = false;
    const onOver = () => {
      if (isOver) return;
      isOver = true;
      this.#limiter.leave(limited);
    };
    try {
      await this.#run(request, response, {
        head,
        requestId,
        writer,
        onOver,
      });
    } catch (error) {
      onOver();
      throw error;
    }
  }

  async #run(
    request: IncomingMessage,
    response: ServerResponse,
    parts: {
      head: CheckedHead;
      requestId: string;
      writer: AnswerWriter;
      onOver: () => void;
    },
  ): Promise<void> {
    const { head, requestId, writer, onOver } = parts;
    const { route, caller, parent } = head;
    const result = await RequestBody.read(request, route.service.maxBodyBytes);
    if (result.kind === "refused") {
      onOver();
      return this.#refuse(request, parts, notRun(result.reason));
    }
    const digests = digestRequest(request, route, result.body.whole);
    const { quarantine } = this.#options.context;
    if (quarantine.isRefused(digests.fingerprint, monotonicMs())) {
      onOver();
      return this.#refuse(request, parts, notRun(Reason.Quarantined));
    }
    new IngressCall({
      requestId,
      route,
      body: result.body,
      writer,
      response,
      onOver,
      evidence: this.#evidenceOf(route.serviceName),
      template: {
        service: route.serviceName,
        rank: parent?.rank ?? route.rank,
        caller: caller.name,
        method: request.method!,
        path: request.url!,
        headers: endToEndHeaders(request.rawHeaders, DROPPED_HEADERS),
        deadlineMs: head.deadlineMs,
        depth: (parent?.depth ?? 0) + 1,
        ...digests,
        idempotencyKey: singleHeader(request.headers, HEADER_IDEMPOTENCY_KEY),
        retries: parent?.retries ?? { left: RETRIES_PER_TREE },
      },
    }, this.#options.context).start();
  }

  #checkHead(request: IncomingMessage): HeadCheck {
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
    return snapshot.callerOf(digest);
  }

  #evidenceOf(service: string): ServiceEvidence {
    let evidence = this.#evidence.get(service);
    if (evidence === undefined) {
      evidence = { budget: new RetryBudget(), latency: new LatencyTracker() };
      this.#evidence.set(service, evidence);
    }
    return evidence;
  }

  #refuse(
    request: IncomingMessage,
    parts: { readonly requestId: string; readonly writer: AnswerWriter },
    refusal: Refusal,
  ): void {
    const { log, decisions, metrics } = this.#options.context;
    request.resume();
    parts.writer.refuse(refusal);
    const fields = { outcome: refusal.outcome, reason: refusal.reason };
    log.info("refused", {
      request: parts.requestId,
      method: request.method,
      path: request.url?.slice(0, 200),
      ...fields,
    });
    metrics.count("ingress.refused", 1, [`reason:${refusal.reason}`]);
    decisions.add(parts.requestId, {
      atMs: Date.now(),
      event: "refused",
      fields,
    });
  }

  /** Answers what is not a proper HTTP request. */
  #onClientError(error: Error & { code?: string }, socket: Socket): void {
    if (!socket.writable || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    const isTooLarge = error.code === "HPE_HEADER_OVERFLOW";
    const status = isTooLarge
      ? "431 Request Header Fields Too Large"
      : "400 Bad Request";
    this.#options.context.log.info("refused", {
      outcome: Outcome.NotRun,
      reason: Reason.HeaderInvalid,
      code: error.code,
    });
    socket.end(
      `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n` +
        `x-sesamepond-outcome: ${Outcome.NotRun}\r\n` +
        `x-sesamepond-reason: ${Reason.HeaderInvalid}\r\n\r\n`,
    );
  }
}

function refused(refusal: Refusal): HeadCheck {
  return { kind: "refused", refusal };
}

/** What a request is recognized by. */
interface RequestDigests {
  /** Equal for requests that ask for the same. */
  readonly fingerprint: string;
  /** Digest of the content, where a claim needs it. */
  readonly contentDigest: string;
}

/** Digests a request; of a long body only its size counts. */
function digestRequest(
  request: IncomingMessage,
  route: ResolvedRoute,
  body: Uint8Array | undefined,
): RequestDigests {
  const size = body?.length ?? request.headers["content-length"] ?? "?";
  const head = `${route.serviceName} ${request.method} ${request.url} ${size}`;
  const hasBody = body !== undefined && body.length > 0;
  const isClaimed = route.service.delivery === Delivery.AtMostOnce;
  const isShort = head.length <= MAX_PLAIN_FINGERPRINT && !hasBody;
  if (isShort && !isClaimed) return { fingerprint: head, contentDigest: "" };
  const content = hasBody ? head + hash("sha1", body, "base64url") : head;
  const contentDigest = hash("sha1", content, "base64url");
  return { fingerprint: contentDigest, contentDigest };
}
