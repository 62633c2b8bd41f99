import type { Buffer } from "node:buffer";
import { Cancellation, type CancelSignal } from "../protocol/cancellation.ts";
import {
  effectiveDeadlineMs,
  needsTransferPermit,
} from "../coordination/dispatch/mod.ts";
import {
  decodeFeed,
  type FeedPoll,
  type FeedPollResult,
  formatFeedTarget,
  isStoreAway,
  readViewAgeMs,
} from "../protocol/feed.ts";
import type { BackendRecord } from "../protocol/mesh.ts";
import type { MeshCall } from "../protocol/mesh_call.ts";
import { MeshReason, notRunOutcome } from "../protocol/mesh_call.ts";
import {
  CallStatus,
  CONFIG_PATH,
  formatStatusTarget,
  HEADER_CALL,
  ROLLOUT_PATH,
} from "../protocol/peer_call.ts";
import {
  formatTransferHeaders,
  formatTransferPermitTarget,
} from "../protocol/transfer_permit.ts";
import {
  formatQuotaReport,
  parseQuotaReply,
  type QuotaReport,
} from "../protocol/quota_message.ts";
import { AccountFailure } from "../coordination/quota/mod.ts";
import { CallChannel } from "../transport/channel/mod.ts";
import {
  LifoConnectionPool,
  type PoolResult,
} from "../transport/http/lifo_connection_pool.ts";
import { decompressConfig, describeCall } from "./peer_messages.ts";
import {
  findResult,
  type PeerReply,
  type PeerResult,
  sendOverChannel,
  toPeerResult,
} from "./peer_reply.ts";
import type { QuotaExchange } from "./quota_task.ts";
import { StatusPoller, type StatusReport } from "./status_poller.ts";

/** Timeout of a status query, in ms. */
const QUERY_TIMEOUT_MS = 400;
/** Time after which the answer of an account daemon is no longer useful, in ms. */
const QUOTA_TIMEOUT_MS = 1_000;
/** Longest idle time of a connection for queries, in ms. */
const QUERY_MAX_IDLE_MS = 2_000;
/** Largest body that is sent over the multiplexed channel, in bytes. */
const MAX_CHANNEL_BODY_BYTES = 16 * 1024;
/** A configuration in full would not cross a slow link in time. */
const ACCEPT_COMPRESSED = ["accept-encoding", "gzip"];
/** Time beyond that wait after which a poll counts as failed, in ms. */
const FEED_MARGIN_MS = 500;

/** Options of a {@linkcode PeerClient}. */
export interface PeerClientOptions {
  /** Called with each result of a status query. */
  readonly onStatusReport: (report: StatusReport) => void;
}

/** How a request is sent. */
export interface SendOptions {
  /** Aborts it if the caller has left or another attempt succeeded. */
  readonly signal: CancelSignal;
  /** Newest configuration version that this daemon knows. */
  readonly configVersion: number;
  /** Expected time until the response, in ms. */
  readonly expectedMs: number;
  /** Expected size of the response, in bytes. */
  readonly responseBytes?: number;
  /** Called repeatedly while it is suspected lost; it is not aborted then. */
  readonly onSuspected: (reason: MeshReason) => void;
}

/**
 * Sends requests to the daemon of another backend server.
 *
 * A connection can go dead without an error, so the status of a request without
 * a response is queried over another connection.
 *
 * @example
 * ```ts ignore
 * const client = new PeerClient(record, { onStatusReport });
 * const { outcome } = await client.execute(call, options);
 * ```
 */
export class PeerClient {
  readonly #address: string;
  readonly #linkMbps: number;
  readonly #onStatusReport: PeerClientOptions["onStatusReport"];
  /** Multiplexes requests without a large body. */
  #channel: CallChannel | undefined;
  /** For large bodies, feed polls and transfer permits. */
  readonly #connections: LifoConnectionPool;
  /** Separate from requests, so that a dead connection is soon noticed. */
  readonly #queryConnections: LifoConnectionPool;

  /**
   * Creates a client without connections.
   *
   * @param record The backend server of the daemon.
   * @param options Receiver of status reports.
   */
  constructor(record: BackendRecord, options: PeerClientOptions) {
    this.#onStatusReport = options.onStatusReport;
    this.#address = record.peerAddress;
    this.#linkMbps = record.linkMbps;
    this.#connections = new LifoConnectionPool(record.peerAddress);
    this.#queryConnections = new LifoConnectionPool(record.peerAddress);
  }

  /**
   * Executes a request on the backend server.
   *
   * @param call The request.
   * @param options How it is sent.
   * @returns The outcome; never rejects.
   */
  async execute(call: MeshCall, options: SendOptions): Promise<PeerResult> {
    if (!needsTransferPermit(call.body?.length ?? 0, this.#linkMbps)) {
      return await this.#exchange(call, options);
    }
    const requestedAtMs = performance.now();
    const refusal = await this.#acquirePermit(call, options.signal);
    const permitWaitMs = performance.now() - requestedAtMs;
    if (options.signal.aborted) {
      return { outcome: notRunOutcome(MeshReason.Cancelled), permitWaitMs };
    }
    if (refusal !== undefined) {
      return {
        outcome: notRunOutcome(MeshReason.Overloaded, refusal.waitMs),
        permitWaitMs: refusal.waitMs,
      };
    }
    return { ...await this.#exchange(call, options), permitWaitMs };
  }

  /**
   * Sends a message to the daemon as an account daemon.
   *
   * @param report The message.
   * @returns The answer, or why there is none; never rejects.
   */
  async sendQuotaReport(report: QuotaReport): Promise<QuotaExchange> {
    const channel = this.#openChannel();
    const abandoned = new Cancellation();
    const timer = setTimeout(() => {
      abandoned.abort();
      // Without an answer, the channel may be dead.
      void this.#isAlive(channel);
    }, QUOTA_TIMEOUT_MS);
    const head = formatQuotaReport(report);
    const result = await channel.send(
      { head, body: undefined },
      abandoned.signal,
    );
    clearTimeout(timer);
    if (result.kind === "failed") {
      return { kind: "failed", reason: AccountFailure.Unreachable };
    }
    const reply = parseQuotaReply(result.head);
    return reply === undefined
      ? { kind: "failed", reason: AccountFailure.Unreadable }
      : { kind: "reply", reply };
  }

  async #exchange(call: MeshCall, options: SendOptions): Promise<PeerResult> {
    // Large bodies would block the channel.
    const channel = this.#hasLargeBody(call, options.responseBytes ?? 0)
      ? undefined
      : this.#openChannel();
    const abandoned = new Cancellation();
    const onAbort = () => abandoned.abort();
    options.signal.addEventListener("abort", onAbort);
    let hasNeverArrived = false;
    const poller = new StatusPoller({
      id: call.id,
      kind: call.kind,
      expectedMs: options.expectedMs,
      isChannelAlive: () => this.#isAlive(channel),
      queryStatus: (ageMs) => this.#queryStatus(call.id, ageMs),
      onReport: this.#onStatusReport,
      onSuspected: options.onSuspected,
      onNeverArrived: () => {
        hasNeverArrived = true;
        onAbort();
      },
    });
    const sentAtMs = performance.now();
    const description = describeCall(call, options.configVersion);
    const reply = channel === undefined
      ? await this.#sendOnConnection(call, description, abandoned.signal)
      : await sendOverChannel(channel, {
        call,
        description,
        signal: abandoned.signal,
      });
    options.signal.removeEventListener("abort", onAbort);
    poller.stop();
    const tookMs = performance.now() - sentAtMs;
    if (reply.kind === "failed" && options.signal.aborted) {
      return {
        outcome: { kind: "unknown", reason: MeshReason.Cancelled },
        // Neither the request nor the last status query has a response.
        ...(poller.isUnanswered ? { transitMs: tookMs } : {}),
      };
    }
    const hasChannelFailed = reply.kind === "failed" && reply.sent &&
      channel !== undefined && !hasNeverArrived;
    if (hasChannelFailed) {
      const { status } = await this.#queryStatus(call.id, tookMs);
      hasNeverArrived = status === CallStatus.Unknown;
    }
    return toPeerResult(reply, hasNeverArrived, tookMs);
  }

  /**
   * Fetches the newest configuration that the daemon holds.
   *
   * @returns Its bytes; `undefined` if the daemon does not respond in time.
   */
  async fetchConfig(): Promise<Uint8Array | undefined> {
    const result = await this.#query(CONFIG_PATH, ACCEPT_COMPRESSED);
    return result.kind === "answer" && result.status === 200
      ? decompressConfig(result.headers, result.body)
      : undefined;
  }

  /**
   * Polls for the changes that the daemon has read from the store.
   *
   * @param poll Where to go on, and for how long the daemon may hold the poll.
   * @param signal Gives the poll up.
   * @returns The changes, or why there are none; never rejects.
   */
  async pollFeed(
    poll: FeedPoll,
    signal?: CancelSignal,
  ): Promise<FeedPollResult> {
    const result = await this.#connections.send({
      method: "GET",
      path: formatFeedTarget(poll),
      headers: [],
      body: undefined,
      silenceTimeoutMs: poll.waitMs + FEED_MARGIN_MS,
    }, signal);
    if (result.kind === "failed") return { kind: "failed" };
    if (result.status !== 200) {
      return { kind: isStoreAway(result.headers) ? "away" : "refused" };
    }
    const batch = decodeFeed(result.body);
    return batch === undefined ? { kind: "failed" } : {
      kind: "changes",
      batch,
      viewAgeMs: readViewAgeMs(result.headers),
    };
  }

  /**
   * Reports the results of the versions of a service.
   *
   * @param report The encoded report.
   * @returns The encoded decision; `undefined` if the daemon does not decide.
   */
  async reportRollout(report: Buffer): Promise<Buffer | undefined> {
    const result = await this.#queryConnections.send({
      method: "POST",
      path: ROLLOUT_PATH,
      headers: [],
      body: report,
      maxIdleMs: QUERY_MAX_IDLE_MS,
      silenceTimeoutMs: QUERY_TIMEOUT_MS,
    });
    return result.kind === "answer" && result.status === 200
      ? result.body
      : undefined;
  }

  /** Closes idle connections, and the channel once its requests have ended. */
  close(): void {
    this.#channel?.drain();
    this.#connections.close();
    this.#queryConnections.close();
  }

  #hasLargeBody(call: MeshCall, responseBytes: number): boolean {
    return (call.body?.length ?? 0) > MAX_CHANNEL_BODY_BYTES ||
      needsTransferPermit(responseBytes, this.#linkMbps);
  }

  #openChannel(): CallChannel {
    if (this.#channel?.isUsable !== true) {
      this.#channel = new CallChannel(this.#address);
    }
    return this.#channel;
  }

  async #sendOnConnection(
    call: MeshCall,
    description: string,
    signal: CancelSignal,
  ): Promise<PeerReply> {
    const result = await this.#connections.send({
      method: call.method,
      path: call.path,
      headers: [...call.headers, HEADER_CALL, description],
      body: call.body,
      accepts: ({ headers }) => findResult(headers) !== undefined,
    }, signal);
    if (result.kind === "failed") return result;
    return { ...result, description: findResult(result.headers) };
  }

  /**
   * Waits for a transfer permit as long as the body can still arrive in time.
   * If the destination does not respond at all, the body is sent without one.
   *
   * @returns The expected wait if no permit is available in time.
   */
  async #acquirePermit(
    call: MeshCall,
    signal: CancelSignal,
  ): Promise<{ readonly waitMs: number } | undefined> {
    const requestedAtMs = performance.now();
    const times = { ...call, arrivedAtMs: requestedAtMs };
    const maxWaitMs = Math.max(
      0,
      effectiveDeadlineMs(times, false) - requestedAtMs,
    );
    const result = await this.#connections.send({
      method: "GET",
      path: formatTransferPermitTarget(call.id, maxWaitMs),
      headers: formatTransferHeaders(call),
      body: undefined,
      silenceTimeoutMs: Math.ceil(maxWaitMs),
    }, signal);
    if (result.kind === "failed") {
      const hasTimedOut = performance.now() - requestedAtMs >= maxWaitMs;
      return hasTimedOut ? { waitMs: maxWaitMs } : undefined;
    }
    if (result.status === 200) return undefined;
    return { waitMs: Number(result.body.toString()) || 0 };
  }

  /** Whether the peer responds on a channel; its requests are open then. */
  async #isAlive(channel: CallChannel | undefined): Promise<boolean> {
    if (channel === undefined) return false;
    if (await channel.ping(QUERY_TIMEOUT_MS)) return true;
    channel.drain();
    return false;
  }

  async #queryStatus(
    id: string,
    ageMs: number,
  ): Promise<Pick<StatusReport, "status" | "wasSent">> {
    const result = await this.#query(formatStatusTarget(id, ageMs));
    if (result.kind === "failed") {
      return { status: undefined, wasSent: result.sent };
    }
    const status = Object.values(CallStatus).find((candidate) =>
      result.status === 200 && candidate === result.body.toString()
    );
    return { status, wasSent: true };
  }

  /**
   * Queries over a connection that has carried a response recently, or over a
   * new one. A connection without a response in time is not used again.
   */
  async #query(
    path: string,
    headers: readonly string[] = [],
  ): Promise<PoolResult> {
    return await this.#queryConnections.send({
      method: "GET",
      path,
      headers,
      body: undefined,
      maxIdleMs: QUERY_MAX_IDLE_MS,
      silenceTimeoutMs: QUERY_TIMEOUT_MS,
    });
  }
}
