import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { randomBytes } from "node:crypto";
import { Agent, type Dispatcher, request } from "undici";
import { uuidV7 } from "../src/coordination/claims/idempotency_key.ts";
import { VENDOR_TOKEN } from "./sample_config.ts";

/** A response as a caller sees it. */
export interface CallResponse {
  /** HTTP status; 0 if there was no complete response. */
  readonly status: number;
  readonly outcome: string;
  readonly reason: string;
  readonly requestId: string;
  readonly replayed: string;
  readonly body: string;
  readonly latencyMs: number;
}

/** Options of a call. */
export interface CallOptions {
  method?: string;
  token?: string;
  body?: string | Uint8Array;
  headers?: Record<string, string>;
  timeoutMs?: number;
  /** Connections to use; a shared pool by default. */
  dispatcher?: Dispatcher;
  /** Path of an order; only used by {@linkcode placeOrder}. */
  path?: string;
}

const AGENT = new Agent({ connections: 256, pipelining: 1 });

/** Sends a request to a daemon's ingress; never rejects. */
export async function call(
  ingress: string,
  path: string,
  options: CallOptions = {},
): Promise<CallResponse> {
  const startedAtMs = performance.now();
  try {
    const response = await request(`http://${ingress}${path}`, {
      method: (options.method ?? "GET") as "GET",
      headers: {
        authorization: `Bearer ${options.token ?? VENDOR_TOKEN}`,
        ...options.headers,
      },
      body: options.body ?? null,
      dispatcher: options.dispatcher ?? AGENT,
      headersTimeout: options.timeoutMs ?? 30_000,
      bodyTimeout: options.timeoutMs ?? 30_000,
    });
    const body = Buffer.from(await response.body.arrayBuffer()).toString();
    const header = (name: string) =>
      String(response.headers[`x-sesamepond-${name}`] ?? "");
    return {
      status: response.statusCode,
      outcome: header("outcome"),
      reason: header("reason"),
      requestId: header("request-id"),
      replayed: header("replayed"),
      body,
      latencyMs: performance.now() - startedAtMs,
    };
  } catch (error) {
    return {
      status: 0,
      outcome: "",
      reason: String(error),
      requestId: "",
      replayed: "",
      body: "",
      latencyMs: performance.now() - startedAtMs,
    };
  }
}

/** Places an order under an idempotency key. */
export function placeOrder(
  ingress: string,
  key: string,
  options: CallOptions = {},
): Promise<CallResponse> {
  return call(ingress, options.path ?? "/order/sleeves", {
    method: "POST",
    body: `pallets for ${key}`,
    ...options,
    headers: { "idempotency-key": key, ...options.headers },
  });
}

/** Creates an idempotency key with the current time. */
export function createIdempotencyKey(): string {
  return uuidV7(Date.now(), randomBytes(10).toString("hex"));
}
