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
  HEADER_PEER_QUESTION,
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

/** Destinations whose connections are kept. */
const MAX_POOLS = 512;
/** Most connections to a destination for one rank. */
const CONNECTIONS_PER_POOL = 64;
/** Time after which an unused connection is closed, in ms. */
const IDLE_CONNECTION_MS = 10_000;
/** Longest time to open a connection, in ms. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Longest time to settle an outcome, in ms. */
const SETTLE_TIMEOUT_MS = 1_000;

/** Longest time for a daemon to say that it is in reach, in ms. */
const QUESTION_TIMEOUT_MS = 1_000;

/** A sink that also learns the destination's load. */
export interface PeerSink extends AnswerSink {
  onLoad(load: AdmissionLoad): void;
  /** The connection broke; the outcome has to be settled. */
  onBroken(error: StepError): void;
}

/** What a {@linkcode PeerCaller} needs. */
export interface PeerCallerOptions {
  readonly clients: FleetClients;
  /** Returns the current token of this daemon. */
  readonly token: () => string;
  /** IP address that connections come from. */
  readonly sourceAddress: string | undefined;
}

/**
 * Sends calls to the daemons beside other backend servers.
 *
 * Each rank has connections of its own, so that a stuck upload never holds a
 * lookup.
 *
 * @example
 * ```ts ignore
 * const execution = caller.execute(member, call, sink);
 * ```
 */
export class PeerCaller {
  readonly #options: PeerCallerOptions;
  readonly #pools = new LRUCache<string, Pool>({
    max: MAX_POOLS,
    dispose: (pool) => void pool.close().catch(() => {}),
  });

  /**
   * Creates a caller without connections.
   *
   * @param options Control calls and the own token.
   */
  constructor(options: PeerCallerOptions) {
    this.#options = options;
  }

  /**
   * Sends a call.
   *
   * @param member The destination.
   * @param call The call.
   * @param sink Receiver of the answer.
   * @returns A handle to cancel it.
   */
  execute(member: Member, call: Call, sink: PeerSink): Execution {
    const receiver = new PeerAnswer(member, call, sink);
    return receiver.send(this.#poolOf(member, call), this.#headers(call));
  }

  /**
   * Asks the destination over a new connection, on the way that calls take,
   * whether it is in reach.
   *
   * @param member The destination.
   * @returns Its load; `undefined` where it does not answer.
   */
  async ask(member: Member): Promise<AdmissionLoad | undefined> {
    const pool = new Pool(originOf(member), {
      connections: 1,
      connect: { timeout: QUESTION_TIMEOUT_MS },
      ...localAddressOf(this.#options.sourceAddress),
    });
    const headers = [
      HEADER_PEER_TOKEN,
      this.#options.token(),
      HEADER_PEER_QUESTION,
      "reach",
    ];
    try {
      return await askOver(pool, headers);
    } finally {
      void pool.destroy();
    }
  }

  /**
   * Asks the destination over a new connection what became of a call.
   *
   * @param member The destination.
   * @param call The attempt's id, when it was sent, and whether it is given up
   * where it waits.
   * @returns What is known; unknown where the destination does not answer.
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
    // Another process at the address knows nothing of the call.
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
        keepAliveTimeout: IDLE_CONNECTION_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: { timeout: CONNECT_TIMEOUT_MS },
        ...localAddressOf(this.#options.sourceAddress),
      });
      this.#pools.set(key, pool);
    }
    return pool;
  }

  #headers(call: Call): string[] {
    const leftMs = Math.max(1, Math.floor(call.deadlineMs - monotonicMs()));
    const header = formatPeerCall({
      id: call.id,
      service: call.service,
      rank: call.rank,
      caller: call.caller,
      timeoutMs: leftMs,
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

function askOver(
  pool: Pool,
  headers: readonly string[],
): Promise<AdmissionLoad | undefined> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(undefined), QUESTION_TIMEOUT_MS);
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
      // A daemon that does not know the question refuses it: it is in reach.
      onHead: (head) =>
        finish(parsePeerAnswer(singleHeader(head.headers, HEADER_PEER_ANSWER))),
      onData: () => true,
      onEnd: () => finish(undefined),
      onError: () => finish(undefined),
    });
  });
}

/** Reads the answer of a destination. */
class PeerAnswer {
  readonly #member: Member;
  readonly #call: Call;
  readonly #sink: PeerSink;
  #state: "head" | "body" | "refused" | "broken" = "head";

  constructor(member: Member, call: Call, sink: PeerSink) {
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
      return this.#sink.onBroken(this.#error("the answer is another call's"));
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
      : { ...unknownOutcome(reason), retryable: answer.isRetryable };
    this.#sink.onRefused(refusal);
  }

  #onError(error: Error, sent: boolean): void {
    switch (this.#state) {
      case "head":
        if (!sent) {
          return this.#sink.onRefused(notRun(Reason.PeerFailed, true));
        }
        this.#state = "broken";
        return this.#sink.onBroken(this.#error(error.message));
      case "body":
        this.#state = "broken";
        return this.#sink.onCut(this.#error(error.message));
      case "refused":
      case "broken":
        return;
    }
  }

  #error(reason: string): StepError {
    return new StepError(
      FailureKind.Ambiguous,
      "call-peer",
      `Cannot read the answer: ${reason}`,
      { peer: this.#member.id },
    );
  }
}
