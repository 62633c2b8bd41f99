import { latestUsefulMs, needsPlace } from "../coordination/dispatch/mod.ts";
import {
  decodeFeed,
  type FeedNews,
  formatFeedTarget,
} from "../protocol/feed.ts";
import type { BackendRecord } from "../protocol/mesh.ts";
import type { MeshCall } from "../protocol/mesh_call.ts";
import { MeshReason, notRunOutcome } from "../protocol/mesh_call.ts";
import {
  CallStatus,
  CONFIG_PATH,
  formatCall,
  formatPlaceTarget,
  HEADER_CALL,
  STATUS_PATH,
} from "../protocol/peer_call.ts";
import { CallChannel } from "../transport/channel/mod.ts";
import {
  LifoConnectionPool,
  type PoolResult,
} from "../transport/http/lifo_connection_pool.ts";
import {
  type PeerResult,
  type Reply,
  resultOf,
  sendOver,
  toPeerResult,
} from "./peer_reply.ts";
import { type Finding, SilenceWatch } from "./silence_watch.ts";

/** Time in which a question must be answered, in ms. */
const QUERY_TIMEOUT_MS = 400;
/** Longest idle time of a connection for questions, in ms. */
const QUERY_MAX_IDLE_MS = 2_000;
/** Largest body that goes with others over one connection, in bytes. */
const MAX_CHANNEL_BODY_BYTES = 16 * 1024;
/** Given as a reason, since the default one records a stack each time. */
const GIVEN_UP = new Error("given up");

/** Time for which another daemon may wait for news from the store, in ms. */
const FEED_WAIT_MS = 600;
/** Time beyond that after which the daemon is taken to be out of reach, in ms. */
const FEED_MARGIN_MS = 500;

/** What a client tells besides the outcomes of requests. */
export interface PeerClientOptions {
  readonly onFinding: (finding: Finding) => void;
}

/** How a request is sent. */
export interface SendOptions {
  /** Ends it, as the caller has gone or has another answer. */
  readonly signal: AbortSignal;
  /** Newest configuration version known. */
  readonly configVersion: number;
  /** Time that the answer is expected to take, in ms. */
  readonly expectedMs: number;
  /** Takes in, again and again, that it may be lost; it goes on all the same. */
  readonly onDoubt: (reason: MeshReason) => void;
}

/**
 * Sends requests to the daemon beside another backend server.
 *
 * A connection may have gone silent for good, so a request without an answer is
 * asked about over another one.
 *
 * @example
 * ```ts ignore
 * const client = new PeerClient(record, { onFinding });
 * const { outcome } = await client.execute(call, options);
 * ```
 */
export class PeerClient {
  readonly #address: string;
  readonly #linkMbps: number;
  readonly #onFinding: PeerClientOptions["onFinding"];
  /** Carries what has no long body. */
  #channel: CallChannel | undefined;
  /** For long bodies, and what is not a request. */
  readonly #connections: LifoConnectionPool;
  /** Apart from requests, so that one that went silent is soon found out. */
  readonly #questions: LifoConnectionPool;

  /**
   * Creates a client without connections.
   *
   * @param record A backend server beside the daemon.
   * @param options Where findings go.
   */
  constructor(record: BackendRecord, options: PeerClientOptions) {
    this.#onFinding = options.onFinding;
    this.#address = record.peerAddress;
    this.#linkMbps = record.linkMbps;
    this.#connections = new LifoConnectionPool(record.peerAddress);
    this.#questions = new LifoConnectionPool(record.peerAddress);
  }

  /**
   * Has a request executed.
   *
   * @param call The request.
   * @param options How it is sent.
   * @returns The outcome; never rejects.
   */
  async execute(call: MeshCall, options: SendOptions): Promise<PeerResult> {
    if (!needsPlace(call.body?.length ?? 0, this.#linkMbps)) {
      return await this.#exchange(call, options);
    }
    const askedAtMs = performance.now();
    const refusal = await this.#untilPlace(call, options.signal);
    const placeWaitMs = performance.now() - askedAtMs;
    if (options.signal.aborted) {
      return { outcome: notRunOutcome(MeshReason.Cancelled), placeWaitMs };
    }
    if (refusal !== undefined) {
      return {
        outcome: notRunOutcome(MeshReason.Overloaded, refusal.waitMs),
        placeWaitMs: refusal.waitMs,
      };
    }
    return { ...await this.#exchange(call, options), placeWaitMs };
  }

  async #exchange(call: MeshCall, options: SendOptions): Promise<PeerResult> {
    const channel = this.#channelFor(call);
    const lost = new AbortController();
    const onAbort = () => lost.abort(GIVEN_UP);
    options.signal.addEventListener("abort", onAbort);
    let neverArrived = false;
    const watch = new SilenceWatch({
      id: call.id,
      kind: call.kind,
      expectedMs: options.expectedMs,
      isOpen: () => this.#isOpenOn(channel),
      askStatus: (ageMs) => this.#statusOf(call.id, ageMs),
      onFinding: this.#onFinding,
      onDoubt: options.onDoubt,
      onNeverArrived: () => {
        neverArrived = true;
        onAbort();
      },
    });
    const sentAtMs = performance.now();
    const description = describe(call, options.configVersion);
    const reply = channel === undefined
      ? await this.#sendAlone(call, description, lost.signal)
      : await sendOver(channel, { call, description, signal: lost.signal });
    options.signal.removeEventListener("abort", onAbort);
    watch.stop();
    const tookMs = performance.now() - sentAtMs;
    if (reply.kind === "failed" && options.signal.aborted) {
      return {
        outcome: { kind: "unknown", reason: MeshReason.Cancelled },
        // Neither the request nor a question about it came through so far.
        ...(watch.isSilent ? { transitMs: tookMs } : {}),
      };
    }
    const isLostWithOthers = reply.kind === "failed" && reply.sent &&
      channel !== undefined && !neverArrived;
    if (isLostWithOthers) {
      const { status } = await this.#statusOf(call.id, tookMs);
      neverArrived = status === CallStatus.Unknown;
    }
    return toPeerResult(reply, neverArrived, tookMs);
  }

  /**
   * Fetches the newest configuration that the daemon holds.
   *
   * @returns Its bytes; `undefined` where there is no answer.
   */
  async fetchConfig(): Promise<Uint8Array | undefined> {
    const result = await this.#ask(CONFIG_PATH);
    return result.kind === "answer" && result.status === 200
      ? result.body
      : undefined;
  }

  /**
   * Asks for what the daemon has read from the store since a revision.
   *
   * @param afterRevision The revision.
   * @returns The news; `undefined` where the daemon has none to give, as it
   * does not reach the store, does not read it or does not answer.
   */
  async pollFeed(afterRevision: number): Promise<FeedNews | undefined> {
    const result = await this.#connections.send({
      method: "GET",
      path: formatFeedTarget(afterRevision, FEED_WAIT_MS),
      headers: [],
      body: undefined,
    }, AbortSignal.timeout(FEED_WAIT_MS + FEED_MARGIN_MS));
    return result.kind === "answer" && result.status === 200
      ? decodeFeed(result.body)
      : undefined;
  }

  /** Closes what is idle. */
  close(): void {
    this.#channel?.drain();
    this.#connections.close();
    this.#questions.close();
  }

  /** The channel for a request; none for long bodies, which would hold it up. */
  #channelFor(call: MeshCall): CallChannel | undefined {
    if ((call.body?.length ?? 0) > MAX_CHANNEL_BODY_BYTES) return undefined;
    if (this.#channel?.isUsable !== true) {
      this.#channel = new CallChannel(this.#address);
    }
    return this.#channel;
  }

  async #sendAlone(
    call: MeshCall,
    description: string,
    signal: AbortSignal,
  ): Promise<Reply> {
    const result = await this.#connections.send({
      method: call.method,
      path: call.path,
      headers: [...call.headers, HEADER_CALL, description],
      body: call.body,
      accepts: (_status, headers) => resultOf(headers) !== undefined,
    }, signal);
    if (result.kind === "failed") return result;
    return { ...result, described: resultOf(result.headers) };
  }

  /**
   * Waits for a place on the way while it has use; a destination that does not
   * answer at all is no bar.
   *
   * @returns The expected wait where there is no place in time.
   */
  async #untilPlace(
    call: MeshCall,
    signal: AbortSignal,
  ): Promise<{ readonly waitMs: number } | undefined> {
    const askedAtMs = performance.now();
    const times = { ...call, arrivedAtMs: askedAtMs };
    const usefulMs = Math.max(0, latestUsefulMs(times, false) - askedAtMs);
    // Only whole numbers are taken for a time.
    const timeout = AbortSignal.timeout(Math.ceil(usefulMs));
    const result = await this.#connections.send({
      method: "GET",
      path: formatPlaceTarget(call.id, usefulMs),
      headers: [],
      body: undefined,
    }, AbortSignal.any([signal, timeout]));
    if (result.kind === "failed") {
      return timeout.aborted ? { waitMs: usefulMs } : undefined;
    }
    if (result.status === 200) return undefined;
    return { waitMs: Number(result.body.toString()) || 0 };
  }

  /** Whether a channel has a sign of life: its requests are open then. */
  async #isOpenOn(channel: CallChannel | undefined): Promise<boolean> {
    if (channel === undefined) return false;
    if (await channel.ping(QUERY_TIMEOUT_MS)) return true;
    channel.drain();
    return false;
  }

  async #statusOf(
    id: string,
    ageMs: number,
  ): Promise<Pick<Finding, "status" | "wasSent">> {
    const result = await this.#ask(
      `${STATUS_PATH}${encodeURIComponent(id)}?ageMs=${Math.ceil(ageMs)}`,
    );
    if (result.kind === "failed") {
      return { status: undefined, wasSent: result.sent };
    }
    const status = Object.values(CallStatus).find((one) =>
      result.status === 200 && one === result.body.toString()
    );
    return { status, wasSent: true };
  }

  /**
   * Asks over a connection that has answered a question lately, or a new one.
   * One that does not answer is not used again.
   */
  async #ask(path: string): Promise<PoolResult> {
    const cut = new AbortController();
    const timer = setTimeout(() => cut.abort(GIVEN_UP), QUERY_TIMEOUT_MS);
    const result = await this.#questions.send({
      method: "GET",
      path,
      headers: [],
      body: undefined,
      maxIdleMs: QUERY_MAX_IDLE_MS,
    }, cut.signal);
    clearTimeout(timer);
    return result;
  }
}

function describe(call: MeshCall, configVersion: number): string {
  const nowMs = performance.now();
  return formatCall({
    ...call,
    remainingMs: call.deadlineMs - nowMs,
    objectiveInMs: call.objectiveAtMs - nowMs,
    configVersion,
  });
}
