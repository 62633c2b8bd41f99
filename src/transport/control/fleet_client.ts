import type { Agent } from "node:http";
import {
  Code,
  ConnectError,
  createClient,
  type Interceptor,
} from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { LRUCache } from "lru-cache";
import { err, ok, type Result } from "neverthrow";
import { HEADER_PEER_TOKEN } from "../../protocol/headers.ts";
import { Fleet } from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import {
  FailureKind,
  messageOf,
  StepError,
} from "../../protocol/step_error.ts";
import type { Client } from "@connectrpc/connect";
import { localAddressOf } from "../http/local_address.ts";
import { SocketMeter } from "../observe/socket_meter.ts";
import { MeteredAgent } from "./metered_agent.ts";

/** Number of peers whose clients are cached. */
const MAX_CLIENTS = 64;
/** Idle timeout of a connection, in ms. */
const IDLE_CONNECTION_MS = 5_000;
/** Largest message that is read, in bytes. */
export const MAX_MESSAGE_BYTES = 48 * 1024 * 1024;

/** A client for the control calls of one peer. */
export type PeerClient = Client<typeof Fleet>;

/** Optional settings of a {@linkcode FleetClients}. */
export interface FleetClientsOptions {
  /** Source IP address of connections. */
  sourceAddress?: string | undefined;
  /** Counts the bytes of all connections. */
  meter?: SocketMeter;
}

/** Optional settings of one control call. */
export interface ControlCallOptions {
  /** Timeout in ms. @default {1000} */
  timeoutMs?: number;
  /** Whether to open a connection for this call alone. @default {false} */
  hasOwnConnection?: boolean;
}

/**
 * Calls the control interface of other daemons.
 *
 * @example
 * ```ts ignore
 * const clients = new FleetClients(() => auth.token(selfId, Date.now()));
 * const result = await clients.call("10.0.0.2:7003", "sync", (peer, options) =>
 *   peer.sync({}, options));
 * ```
 */
export class FleetClients {
  readonly #agent: Agent;
  readonly #singleUseAgent: Agent;
  readonly #clients = new LRUCache<string, PeerClient>({ max: MAX_CLIENTS });
  readonly #interceptor: Interceptor;

  /**
   * Creates a client.
   *
   * @param token Returns the current token of this daemon.
   * @param options Source address and meter.
   */
  constructor(token: () => string, options: FleetClientsOptions = {}) {
    const { sourceAddress, meter = new SocketMeter() } = options;
    const source = localAddressOf(sourceAddress);
    this.#agent = new MeteredAgent({
      keepAlive: true,
      timeout: IDLE_CONNECTION_MS,
      maxFreeSockets: 16,
      ...source,
    }, meter);
    this.#singleUseAgent = new MeteredAgent(
      { keepAlive: false, ...source },
      meter,
    );
    this.#interceptor = (next) => (request) => {
      request.header.set(HEADER_PEER_TOKEN, token());
      return next(request);
    };
  }

  /**
   * Makes a control call.
   *
   * @param address "ip:port" of the peer's control interface.
   * @param step Name of the call in errors.
   * @param run Makes the call with a client and the call's options.
   * @param options Timeout and connection.
   * @returns The response, or an error that tells whether the call may have
   * arrived.
   */
  async call<T>(
    address: string,
    step: string,
    run: (
      peer: PeerClient,
      options: { timeoutMs: number },
    ) => Promise<T>,
    options: ControlCallOptions = {},
  ): Promise<Result<T, StepError>> {
    const timeoutMs = options.timeoutMs ?? 1_000;
    const client = options.hasOwnConnection === true
      ? this.#createClient(address, this.#singleUseAgent)
      : this.#clientOf(address);
    try {
      return ok(await run(client, { timeoutMs }));
    } catch (error) {
      return err(
        new StepError(
          kindOf(error),
          step,
          `Cannot reach the peer: ${messageOf(error)}`,
          { peer: address, cause: error },
        ),
      );
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
    this.#singleUseAgent.destroy();
  }

  #clientOf(address: string): PeerClient {
    const cached = this.#clients.get(address);
    if (cached !== undefined) return cached;
    const client = this.#createClient(address, this.#agent);
    this.#clients.set(address, client);
    return client;
  }

  #createClient(address: string, agent: Agent): PeerClient {
    return createClient(
      Fleet,
      createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: "1.1",
        useBinaryFormat: true,
        nodeOptions: { agent },
        interceptors: [this.#interceptor],
        readMaxBytes: MAX_MESSAGE_BYTES,
        acceptCompression: [],
      }),
    );
  }
}

/**
 * Returns whether a control call timed out, as with a stalled peer.
 *
 * @param error The failure of the call.
 * @returns False if the connection was refused or broken.
 *
 * @example
 * ```ts ignore
 * if (isTimeout(error)) suspect(peer);
 * ```
 */
export function isTimeout(error: StepError): boolean {
  return error.cause instanceof ConnectError &&
    error.cause.code === Code.DeadlineExceeded;
}

function kindOf(error: unknown): FailureKind {
  if (!(error instanceof ConnectError)) return FailureKind.Ambiguous;
  switch (error.code) {
    case Code.InvalidArgument:
    case Code.Unauthenticated:
    case Code.PermissionDenied:
      return FailureKind.Invalid;
    case Code.Unavailable:
      return FailureKind.Unavailable;
    case Code.FailedPrecondition:
      return FailureKind.Conflict;
    default:
      return FailureKind.Ambiguous;
  }
}
