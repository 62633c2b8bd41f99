import { Buffer } from "node:buffer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { closeServer, listen } from "../src/transport/http/listen.ts";
import {
  type FakeCompare,
  type FakeEntry,
  type FakeEvent,
  type FakeWrite,
  StoreData,
} from "./store_data.ts";

/** Maximum size of a value in the platform's service, in bytes. */
const MAX_VALUE_BYTES = 1024 * 1024;
/** Period of the checks for expired leases, in ms. */
const LEASE_CHECK_PERIOD_MS = 50;

/** Faults that the store stand-in injects. */
export interface StoreFaults {
  /** Whether all calls fail. */
  isDown: boolean;
  /** Delay of each response, in ms. */
  delayMs: number;
  /** Number of writes whose responses are lost after they took effect. */
  lostAnswers: number;
  /** Delay before a write takes effect, in ms, as in a slow store. */
  lateWritesMs: number;
  /** Whether open watches stop reporting changes without being closed. */
  areWatchesSilent: boolean;
  /** Whether responses are invalid JSON. */
  isCorrupt: boolean;
}

/** Rate limits of the platform's store. */
export interface StoreBudget {
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
}

/** Counters of the calls to the stand-in. */
export interface StoreCounts {
  reads: number;
  writes: number;
  refusedByBudget: number;
  /** Maximum number of calls within one second. */
  peakPerSecond: number;
}

type Json = Record<string, unknown>;

/**
 * Stands in for the platform's key-value service with the etcd v3 JSON gateway.
 *
 * @example
 * ```ts ignore
 * const store = new StoreServer();
 * const port = await store.listen(0);
 * store.faults.isDown = true;
 * ```
 */
export class StoreServer {
  readonly data = new StoreData();
  readonly faults: StoreFaults = {
    isDown: false,
    delayMs: 0,
    lostAnswers: 0,
    lateWritesMs: 0,
    areWatchesSilent: false,
    isCorrupt: false,
  };
  readonly counts: StoreCounts = {
    reads: 0,
    writes: 0,
    refusedByBudget: 0,
    peakPerSecond: 0,
  };
  readonly #budget: StoreBudget;
  readonly #server: Server;
  readonly #watchResponses = new Set<ServerResponse>();
  #currentSecond = { atS: 0, reads: 0, writes: 0 };
  #leaseTimer: NodeJS.Timeout | undefined;

  /**
   * Creates a stand-in.
   *
   * @param budget Rate limits above which calls get the status 429.
   */
  constructor(
    budget: StoreBudget = { writesPerSecond: 400, readsPerSecond: 2_000 },
  ) {
    this.#budget = budget;
    this.#server = createServer((request, response) => {
      void this.#serve(request, response).catch(() => response.destroy());
    });
  }

  /**
   * Opens the port on the loopback address.
   *
   * @param port Port, or 0 for any free one.
   * @returns The open port.
   */
  async listen(port: number): Promise<number> {
    this.#leaseTimer = setInterval(
      () => this.data.expire(Date.now()),
      LEASE_CHECK_PERIOD_MS,
    );
    return await listen(this.#server, "127.0.0.1", port);
  }

  /** Closes the port. */
  close(): Promise<void> {
    clearInterval(this.#leaseTimer);
    return closeServer(this.#server);
  }

  /** Starts an outage, which also closes open watches. */
  goDown(): void {
    this.faults.isDown = true;
    for (const response of this.#watchResponses) response.destroy();
  }

  /** Ends an outage. */
  comeBack(): void {
    this.faults.isDown = false;
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = JSON.parse(await readBody(request)) as Json;
    if (request.url === "/_faults") {
      Object.assign(this.faults, body);
      if (this.faults.isDown) this.goDown();
      return sendJson(response, 200, { ...this.counts });
    }
    if (this.faults.isDown) return void response.destroy();
    if (this.faults.delayMs > 0) await sleep(this.faults.delayMs);
    if (!this.#countCall(request.url!)) {
      return sendJson(response, 429, { error: "too many requests" });
    }
    if (this.faults.isCorrupt) return void response.end("\u0000{not json");
    try {
      await this.#dispatch(request.url!, body, response);
    } catch (error) {
      sendJson(response, 400, { error: String(error) });
    }
  }

  async #dispatch(
    url: string,
    body: Json,
    response: ServerResponse,
  ): Promise<void> {
    const nowMs = Date.now();
    switch (url) {
      case "/v3/kv/range":
        return this.#range(body, response);
      case "/v3/kv/txn":
        return await this.#transact(body, response);
      case "/v3/lease/grant": {
        const id = this.data.grant(Number(body.TTL), nowMs);
        return sendJson(response, 200, { ID: id, TTL: body.TTL });
      }
      case "/v3/lease/keepalive": {
        const ttl = this.data.renew(String(body.ID), nowMs);
        return sendJson(response, 200, {
          result: { ID: body.ID, TTL: String(ttl) },
        });
      }
      case "/v3/lease/revoke":
        this.data.revoke(String(body.ID));
        return sendJson(response, 200, {});
      case "/v3/watch":
        return this.#watch(body, response);
      default:
        return sendJson(response, 404, { error: "not found" });
    }
  }

  #range(body: Json, response: ServerResponse): void {
    const entries = this.data.range(
      body.key as string,
      body.range_end as string | undefined,
    );
    sendJson(response, 200, {
      header: this.#header(),
      kvs: entries.map(toWire),
      count: String(entries.length),
    });
  }

  async #transact(body: Json, response: ServerResponse): Promise<void> {
    if (this.faults.lateWritesMs > 0) {
      // The client may have timed out by the time the write takes effect.
      await sleep(this.faults.lateWritesMs);
    }
    const succeeded = this.data.transact(
      (body.compare ?? []) as FakeCompare[],
      (body.success ?? []) as FakeWrite[],
      MAX_VALUE_BYTES,
    );
    if (succeeded && this.faults.lostAnswers > 0) {
      this.faults.lostAnswers--;
      return void response.destroy();
    }
    const failureReads = (body.failure ?? []) as {
      request_range: { key: string; range_end?: string };
    }[];
    const responses = succeeded
      ? []
      : failureReads.map(({ request_range }) => ({
        response_range: {
          kvs: this.data.range(request_range.key, request_range.range_end)
            .map(toWire),
        },
      }));
    sendJson(response, 200, { header: this.#header(), succeeded, responses });
  }

  #watch(body: Json, response: ServerResponse): void {
    const request = body.create_request as Record<string, string>;
    const header = this.#header();
    response.writeHead(200, { "content-type": "application/json" });
    const send = (message: unknown) => {
      response.write(`${JSON.stringify({ result: message })}\n`);
    };
    send({ header, created: true });
    const stop = this.data.watch(
      request.key!,
      Number(request.start_revision ?? this.data.revision + 1),
      (event: FakeEvent) => {
        if (this.faults.areWatchesSilent) return;
        send({
          header: this.#header(),
          events: [{ type: event.type, kv: toWire(event.entry) }],
        });
      },
    );
    this.#watchResponses.add(response);
    response.once("close", () => {
      stop();
      this.#watchResponses.delete(response);
    });
  }

  /** Counts a call and returns whether the rate limits allow it. */
  #countCall(url: string): boolean {
    const atS = Math.floor(Date.now() / 1_000);
    if (atS !== this.#currentSecond.atS) {
      this.#currentSecond = { atS, reads: 0, writes: 0 };
    }
    const isRead = url === "/v3/kv/range" || url === "/v3/watch";
    if (isRead) {
      this.counts.reads++;
      this.#currentSecond.reads++;
    } else {
      this.counts.writes++;
      this.#currentSecond.writes++;
    }
    const { reads, writes } = this.#currentSecond;
    this.counts.peakPerSecond = Math.max(
      this.counts.peakPerSecond,
      reads + writes,
    );
    const isAllowed = reads <= this.#budget.readsPerSecond &&
      writes <= this.#budget.writesPerSecond;
    if (!isAllowed) this.counts.refusedByBudget++;
    return isAllowed;
  }

  #header(): Json {
    return { revision: String(this.data.revision) };
  }
}

function toWire(entry: FakeEntry): Json {
  return {
    key: Buffer.from(entry.key).toString("base64"),
    value: entry.value.toString("base64"),
    create_revision: String(entry.createRevision),
    mod_revision: String(entry.modRevision),
    ...(entry.lease === "0" ? {} : { lease: entry.lease }),
  };
}

function sendJson(response: ServerResponse, status: number, body: Json): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(`${JSON.stringify(body)}\n`);
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString() || "{}";
}
