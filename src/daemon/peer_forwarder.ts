import { LRUCache } from "lru-cache";
import type { AdmissionLoad } from "../coordination/admission/admission_queue.ts";
import type {
  AnswerHead,
  AnswerSink,
  Call,
  Execution,
} from "../protocol/call.ts";
import {
  type Member,
  SettleState,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { HEADER_PEER_TOKEN } from "../protocol/headers.ts";
import {
  formatPeerCall,
  HEADER_PEER_ANSWER,
  HEADER_PEER_CALL,
  HEADER_PEER_PROBE,
  parsePeerAnswer,
} from "../protocol/peer_headers.ts";
import {
  notRun,
  Outcome,
  Reason,
  unknownOutcome,
} from "../protocol/outcome.ts";
import { FailureKind, StepError } from "../protocol/step_error.ts";
import type { FleetClients } from "../transport/control/fleet_client.ts";
import { Pool } from "../transport/http/undici_parts.ts";
import { localAddressOf } from "../transport/http/local_address.ts";
import { Exchange } from "../transport/http/exchange.ts";
import { singleHeader } from "../transport/http/header_filter.ts";
import { monotonicMs } from "./clocks.ts";
import { controlAddress } from "./control_address.ts";

/** Maximum number of connection pools; each destination has one per rank. */
const MAX_POOLS = 512;
/** Most connections in a pool. */
const CONNECTIONS_PER_POOL = 64;
/** Time after which an idle connection is closed, in ms. */
const IDLE_TIMEOUT_MS = 10_000;
/** Timeout for opening a connection, in ms. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Timeout of a query for the state of a call, in ms. */
const SETTLE_TIMEOUT_MS = 1_000;

/** Timeout of a reachability probe, in ms. */
const PROBE_TIMEOUT_MS = 1_000;

/** Receives a peer's response, the destination's load and lost connections. */
export interface PeerResponseSink extends AnswerSink {
  onLoad(load: AdmissionLoad): void;
  /** The connection broke, so the outcome has to be queried. */
  onConnectionLost(error: StepError): void;
}

/** Options of a {@linkcode PeerForwarder}. */
export interface PeerForwarderOptions {
  readonly clients: FleetClients;
  /** Returns the current authentication token of this daemon. */
  readonly token: () => string;
  /** Local IP address to connect from. */
  readonly sourceAddress: string | undefined;
}

/**
 * Forwards calls to the daemons of other backend servers.
 *
 * Each rank has its own connections, so that a slow upload never blocks a
 * lookup.
 *
 * @example
 * ```ts ignore
 * const execution = forwarder.execute(member, call, sink);
 * ```
 */
export class PeerForwarder {
  readonly #options: PeerForwarderOptions;
  readonly #pools = new LRUCache<string, Pool>({
    max: MAX_POOLS,
    dispose: (pool) => void pool.close().catch(() => {}),
  });

  /**
   * Creates a forwarder; connections open on demand.
   *
   * @param options Client for control calls, token and source address.
   */
  constructor(options: PeerForwarderOptions) {
    this.#options = options;
  }

  /**
   * Sends a call.
   *
   * @param member The destination.
   * @param call The call.
   * @param sink Receiver of the response.
   * @returns A handle to cancel it.
   */
  execute(member: Member, call: Call, sink: PeerResponseSink): Execution {
    const receiver = new PeerResponseReader(member, call, sink);
    return receiver.send(this.#poolOf(member, call), this.#createHeaders(call));
  }

  /**
   * Checks over a new connection to the port for calls whether a destination is
   * reachable.
   *
   * @param member The destination.
   * @returns Its load; `undefined` if it does not respond.
   */
  async probe(member: Member): Promise<AdmissionLoad | undefined> {
    const pool = new Pool(originOf(member), {
      connections: 1,
      connect: { timeout: PROBE_TIMEOUT_MS },
      ...localAddressOf(this.#options.sourceAddress),
    });
    const headers = [
      HEADER_PEER_TOKEN,
      this.#options.token(),
      HEADER_PEER_PROBE,
      "reach",
    ];
    try {
      return await sendProbe(pool, headers);
    } finally {
      void pool.destroy();
    }
  }

  /**
   * Queries the destination over a new connection for the state of a call.
   *
   * @param member The destination.
   * @param call The attempt's id, the monotonic time at which it was sent, and
   * whether the destination cancels it if it has not started.
   * @returns The state; unknown if the destination does not respond.
   */
  async settle(
    member: Member,
    call: {
      readonly id: string;
      readonly sentAtMs: number;
      readonly givesUp: boolean;
    },
  ): Promise<SettleState> {
    const ageMs = Math.ceil(monotonicMs() - call.sentAtMs);
    const { id: requestId, givesUp } = call;
    const result = await this.#options.clients.call(
      controlAddress(member),
      "settle",
      (peer, options) => peer.settle({ requestId, ageMs, givesUp }, options),
      { timeoutMs: SETTLE_TIMEOUT_MS, hasOwnConnection: true },
    );
    if (result.isErr()) return SettleState.UNKNOWN;
    // A different process at the address has no record of the call.
    return result.value.memberId === member.id
      ? result.value.state
      : SettleState.UNKNOWN;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #poolOf(member: Member, call: Call): Pool {
    const origin = originOf(member);
    const key = `${origin}|${call.rank}`;
    let pool = this.#pools.get(key);
    if (pool === undefined) {
      pool = new Pool(origin, {
        connections: CONNECTIONS_PER_POOL,
        pipelining: 1,
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: { timeout: CONNECT_TIMEOUT_MS },
        ...localAddressOf(this.#options.sourceAddress),
      });
      this.#pools.set(key, pool);
    }
    return pool;
  }

  #createHeaders(call: Call): string[] {
    const remainingMs = Math.max(
      1,
      Math.floor(call.deadlineMs - monotonicMs()),
    );
    const header = formatPeerCall({
      id: call.id,
      service: call.service,
      rank: call.rank,
      caller: call.caller,
      timeoutMs: remainingMs,
      depth: call.depth,
      retriesLeft: call.retries.left,
      isRedirectable: call.isRedirectable,
      contentDigest: call.contentDigest,
      fingerprint: call.fingerprint,
    });
    return [
      ...call.headers,
      HEADER_PEER_TOKEN,
      this.#options.token(),
      HEADER_PEER_CALL,
      header,
    ];
  }
}

function originOf(member: Member): string {
  return `http://${member.host}:${member.peerPort}`;
}

function sendProbe(
  pool: Pool,
  headers: readonly string[],
): Promise<AdmissionLoad | undefined> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(undefined), PROBE_TIMEOUT_MS);
    const finish = (load: AdmissionLoad | undefined) => {
      clearTimeout(timer);
      resolve(load);
    };
    Exchange.send(pool, {
      method: "OPTIONS",
      path: "/",
      headers,
      body: { kind: "none" },
    }, {
      // A daemon that does not support the probe refuses it, and is reachable.
      onHead: (head) =>
        finish(parsePeerAnswer(singleHeader(head.headers, HEADER_PEER_ANSWER))),
      onData: () => true,
      onEnd: () => finish(undefined),
      onError: () => finish(undefined),
    });
  });
}

/** Reads a destination's response to a call. */
class PeerResponseReader {
  readonly #member: Member;
  readonly #call: Call;
  readonly #sink: PeerResponseSink;
  #state: "head" | "body" | "refused" | "broken" = "head";

  constructor(member: Member, call: Call, sink: PeerResponseSink) {
    this.#member = member;
    this.#call = call;
    this.#sink = sink;
  }

  send(pool: Pool, headers: readonly string[]): Execution {
    const exchange = Exchange.send(pool, {
      method: this.#call.method,
      path: this.#call.path,
      headers,
      body: this.#call.body,
    }, {
      onHead: (head) => this.#onHead(head, exchange),
      onData: (chunk) =>
        this.#state === "body" ? this.#sink.onData(chunk) : true,
      onEnd: () => {
        if (this.#state === "body") this.#sink.onEnd();
      },
      onError: (error, sent) => this.#onError(error, sent),
    });
    return exchange;
  }

  #onHead(head: AnswerHead, exchange: Execution): void {
    const answer = parsePeerAnswer(
      singleHeader(head.headers, HEADER_PEER_ANSWER),
    );
    if (answer?.id !== this.#call.id) {
      this.#state = "broken";
      exchange.cancel();
      return this.#sink.onConnectionLost(
        this.#createError("it belongs to another call"),
      );
    }
    this.#sink.onLoad(answer);
    if (answer.outcome === Outcome.Ran) {
      this.#state = "body";
      return this.#sink.onHead(head);
    }
    this.#state = "refused";
    const reason = answer.reason ?? Reason.PeerFailed;
    const refusal = answer.outcome === Outcome.NotRun
      ? notRun(reason, answer.isRetryable)
      : { ...unknownOutcome(reason), isRetryable: answer.isRetryable };
    this.#sink.onRefused(refusal);
  }

  #onError(error: Error, isSent: boolean): void {
    switch (this.#state) {
      case "head":
        if (!isSent) {
          return this.#sink.onRefused(notRun(Reason.PeerFailed, true));
        }
        this.#state = "broken";
        return this.#sink.onConnectionLost(this.#createError(error.message));
      case "body":
        this.#state = "broken";
        return this.#sink.onAborted(this.#createError(error.message));
      case "refused":
      case "broken":
        return;
    }
  }

  #createError(reason: string): StepError {
    return new StepError(
      FailureKind.Ambiguous,
      "call-peer",
      `Cannot read the response: ${reason}`,
      { peer: this.#member.id },
    );
  }
}
