import { setTimeout as sleep } from "node:timers/promises";
import { performance } from "node:perf_hooks";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { buildConnector as Connector, Dispatcher } from "undici";
import { localAddressOf } from "../http/local_address.ts";
import { Agent, buildConnector, request } from "../http/undici_parts.ts";
import {
  FailureKind,
  messageOf,
  StepError,
} from "../../protocol/step_error.ts";
import type {
  RangeResult,
  Store,
  StoreEntry,
  StoreTransaction,
  TransactionResult,
  WatchEvent,
  WatchOptions,
} from "../../protocol/store.ts";
import {
  encodeRange,
  encodeTransaction,
  type EtcdRangeResponse,
  type EtcdTxnResponse,
  type EtcdWatchMessage,
  toBase64,
  toEntry,
} from "./etcd_messages.ts";
import type { SocketMeter } from "../observe/socket_meter.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Largest response that is read, in bytes; fits a value of 1 MB in base64. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Calls that may be sent in a burst. */
const BURST_CALLS = 20;
/** Maximum number of connections from one daemon to the store. */
const MAX_CONNECTIONS = 4;

/** Optional settings of an {@linkcode EtcdStore}. */
export interface EtcdStoreOptions {
  /** Timeout of one call, in ms. @default {2000} */
  timeoutMs?: number;
  /** Limit on the rate of calls. @default {20} */
  callsPerSecond?: number;
  /** Source IP address of connections. */
  sourceAddress?: string | undefined;
  /** Counts the bytes of all connections. */
  meter?: SocketMeter;
  /** Called for each call that is sent. */
  onCall?: (step: string) => void;
}

/**
 * Client of the platform's store that uses the etcd v3 JSON gateway.
 *
 * All calls, including watches, are limited by one token bucket.
 *
 * @example
 * ```ts ignore
 * const store = new EtcdStore(["127.0.0.1:2379"]);
 * const head = await store.get("config/head");
 * ```
 */
export class EtcdStore implements Store {
  readonly #endpoints: readonly string[];
  readonly #bucket: TokenBucket;
  readonly #timeoutMs: number;
  readonly #onCall: (step: string) => void;
  readonly #agent: Agent;
  #endpointIndex = 0;

  /**
   * Creates a client; connections open on demand.
   *
   * @param endpoints "ip:port" of the store's nodes.
   * @param options Timeout, rate limit and connection settings.
   */
  constructor(endpoints: readonly string[], options: EtcdStoreOptions = {}) {
    this.#endpoints = endpoints;
    this.#timeoutMs = options.timeoutMs ?? 2_000;
    this.#bucket = new TokenBucket(options.callsPerSecond ?? 20, BURST_CALLS);
    this.#onCall = options.onCall ?? (() => {});
    this.#agent = new Agent({
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      ...localAddressOf(options.sourceAddress),
      connect: meteredConnector(options.meter),
    });
  }

  get(key: string): ResultAsync<StoreEntry | undefined, StepError> {
    return this.#read(encodeRange({ kind: "key", key }))
      .map((result) => result.entries[0]);
  }

  list(prefix: string): ResultAsync<RangeResult, StepError> {
    return this.#read(encodeRange({ kind: "prefix", prefix }));
  }

  commit(
    transaction: StoreTransaction,
  ): ResultAsync<TransactionResult, StepError> {
    return this.#call(
      "store-commit",
      "/v3/kv/txn",
      encodeTransaction(transaction),
      (response: EtcdTxnResponse) => ({
        succeeded: response.succeeded === true,
        revision: Number(response.header?.revision ?? 0),
        entries: response.succeeded === true ? [] : entriesOf(response),
      }),
    );
  }

  grantLease(ttlS: number): ResultAsync<string, StepError> {
    return this.#call(
      "store-grant-lease",
      "/v3/lease/grant",
      { TTL: String(ttlS), ID: "0" },
      ({ ID }: { ID?: string }) => {
        if (typeof ID === "string") return ID;
        throw this.#malformed("store-grant-lease");
      },
    );
  }

  renewLease(leaseId: string): ResultAsync<number, StepError> {
    return this.#call(
      "store-renew-lease",
      "/v3/lease/keepalive",
      { ID: leaseId },
      ({ result }: { result?: { TTL?: string } }) => Number(result?.TTL ?? 0),
    );
  }

  revokeLease(leaseId: string): ResultAsync<void, StepError> {
    return this.#call(
      "store-revoke-lease",
      "/v3/lease/revoke",
      { ID: leaseId },
      () => undefined,
    );
  }

  async *watch(key: string, options: WatchOptions): AsyncIterable<WatchEvent> {
    const response = await this.#send("store-watch", "/v3/watch", {
      create_request: {
        key: toBase64(key),
        ...(options.fromRevision === undefined
          ? {}
          : { start_revision: String(options.fromRevision) }),
      },
    }, { signal: options.signal, bodyTimeout: 0 });
    for await (const line of readLines(response.body)) {
      yield* this.#watchEvents(line);
    }
  }

  /** Closes the client's connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #read(body: unknown): ResultAsync<RangeResult, StepError> {
    return this.#call(
      "store-read",
      "/v3/kv/range",
      body,
      (response: EtcdRangeResponse) => ({
        entries: (response.kvs ?? []).map(toEntry),
        revision: Number(response.header?.revision ?? 0),
      }),
    );
  }

  *#watchEvents(line: string): Iterable<WatchEvent> {
    const message = JSON.parse(line) as EtcdWatchMessage;
    const result = message.result;
    if (message.error !== undefined || result?.canceled === true) {
      throw new StepError(
        FailureKind.Unavailable,
        "store-watch",
        `Cannot watch: ${message.error?.message ?? "cancelled by the store"}`,
        { peer: this.#endpoint() },
      );
    }
    for (const event of result?.events ?? []) {
      const entry = toEntry(event.kv);
      yield {
        key: entry.key,
        revision: entry.modRevision,
        ...(event.type === "DELETE" ? {} : { entry }),
      };
    }
  }

  #call<R, T>(
    step: string,
    path: string,
    body: unknown,
    decode: (response: R) => T,
  ): ResultAsync<T, StepError> {
    return new ResultAsync(this.#exchange(step, path, body, decode));
  }

  /** A response of any shape leads to a value or to an error. */
  async #exchange<R, T>(
    step: string,
    path: string,
    body: unknown,
    decode: (response: R) => T,
  ): Promise<Result<T, StepError>> {
    const peer = this.#endpoint();
    const signal = AbortSignal.timeout(this.#timeoutMs);
    try {
      const response = await this.#send(step, path, body, { signal });
      const text = await readText(response.body);
      if (response.statusCode === 200) return ok(decode(JSON.parse(text)));
      return err(statusError(step, peer, response.statusCode, text));
    } catch (error) {
      this.#endpointIndex++;
      if (error instanceof StepError) return err(error);
      return err(
        new StepError(
          isConnectError(error)
            ? FailureKind.Unavailable
            : FailureKind.Ambiguous,
          step,
          `Cannot call the store: ${messageOf(error)}`,
          { peer, cause: error },
        ),
      );
    }
  }

  async #send(
    step: string,
    path: string,
    body: unknown,
    options: { signal: AbortSignal; bodyTimeout?: number },
  ): Promise<Dispatcher.ResponseData> {
    const waitMs = this.#bucket.waitMs(performance.now());
    if (waitMs > 0) await sleep(waitMs, undefined, { signal: options.signal });
    this.#bucket.tryTake(performance.now());
    this.#onCall(step);
    return await request(this.#agent, {
      origin: `http://${this.#endpoint()}`,
      path,
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
      headersTimeout: this.#timeoutMs,
      ...options,
    });
  }

  #endpoint(): string {
    return this.#endpoints[this.#endpointIndex % this.#endpoints.length]!;
  }

  #malformed(step: string): StepError {
    return new StepError(
      FailureKind.Ambiguous,
      step,
      "Cannot read the store's response: a field is missing",
      { peer: this.#endpoint() },
    );
  }
}

function meteredConnector(meter: SocketMeter | undefined) {
  const connect = buildConnector({} as Connector.BuildOptions);
  return (
    target: Connector.Options,
    callback: Connector.Callback,
  ): void => {
    connect(target, (...result) => {
      // A failed connection has no socket.
      if (result[1]) meter?.track(result[1]);
      callback(...result);
    });
  };
}

/** Returns the entries that a transaction read as its conditions failed. */
function entriesOf(response: EtcdTxnResponse): StoreEntry[] {
  return (response.responses ?? [])
    .flatMap((operation) => operation.response_range?.kvs ?? [])
    .map(toEntry);
}

const CONNECT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function isConnectError(error: unknown): boolean {
  const code = (error as { code?: unknown } | undefined)?.code;
  return CONNECT_ERROR_CODES.has(String(code));
}

function statusError(
  step: string,
  peer: string,
  status: number,
  text: string,
): StepError {
  const kind = status === 429 || status === 503
    ? FailureKind.Unavailable
    : status < 500
    ? FailureKind.Invalid
    : FailureKind.Ambiguous;
  return new StepError(
    kind,
    step,
    `Cannot call the store: status ${status}: ${text.slice(0, 200)}`,
    { peer },
  );
}

async function readText(body: AsyncIterable<Uint8Array>): Promise<string> {
  const decoder = new TextDecoder();
  let text = "";
  for await (const chunk of body) {
    text += decoder.decode(chunk, { stream: true });
    if (text.length > MAX_RESPONSE_BYTES) {
      throw new RangeError(
        `Cannot read the store's response: over ${MAX_RESPONSE_BYTES} bytes`,
      );
    }
  }
  return text;
}

async function* readLines(
  body: AsyncIterable<Uint8Array>,
): AsyncIterable<string> {
  const decoder = new TextDecoder();
  let rest = "";
  for await (const chunk of body) {
    rest += decoder.decode(chunk, { stream: true });
    if (rest.length > MAX_RESPONSE_BYTES) {
      throw new RangeError(
        `Cannot read the watch: a line is over ${MAX_RESPONSE_BYTES} bytes`,
      );
    }
    const lines = rest.split("\n");
    rest = lines.pop()!;
    yield* lines.filter((line) => line.trim() !== "");
  }
}
