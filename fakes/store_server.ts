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

/** Largest value that the platform's service holds, in bytes. */
const MAX_VALUE_BYTES = 1024 * 1024;
/** Time between two looks for lapsed leases, in ms. */
const LEASE_PERIOD_MS = 50;

/** Switches of the store stand-in. */
export interface StoreFaults {
  /** Refuses all calls. */
  isDown: boolean;
  /** Delays each answer, in ms. */
  delayMs: number;
  /** Loses the answers to this many writes after they took effect. */
  lostAnswers: number;
  /** Takes writes in only after this time, in ms, as a slow store would. */
  lateWritesMs: number;
  /** Stops reporting changes on open watches, without closing them. */
  areWatchesSilent: boolean;
  /** Answers with bytes that are no JSON. */
  isCorrupt: boolean;
}

/** Budgets that the platform promises to keep. */
export interface StoreBudget {
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
}

/** Calls that the stand-in counted. */
export interface StoreCounts {
  reads: number;
  writes: number;
  refusedByBudget: number;
  /** Most calls within one second. */
  peakPerSecond: number;
}

type Json = Record<string, unknown>;

/**
 * Stand-in of the platform's key-value service, by the etcd v3 JSON gateway.
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
  #second = { atS: 0, reads: 0, writes: 0 };
  #leaseTimer: NodeJS.Timeout | undefined;

  /**
   * Creates a stand-in.
   *
   * @param budget Calls a second above which it refuses.
   */
  constructor(
    budget: StoreBudget = { writesPerSecond: 400, readsPerSecond: 2_000 },
  ) {
    this.#budget = budget;
    this.#server = createServer((request, response) => {
      void this.#serve(request, response).catch(() => response.destroy());
    });
  }

  /** Opens the port on the loopback address. */
  async listen(port: number): Promise<number> {
    this.#leaseTimer = setInterval(
      () => this.data.expire(Date.now()),
      LEASE_PERIOD_MS,
    );
    return await listen(this.#server, "127.0.0.1", port);
  }

  /** Closes the port. */
  close(): Promise<void> {
    clearInterval(this.#leaseTimer);
    return closeServer(this.#server);
  }

  /** Starts an outage that breaks open watches too. */
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
      return answer(response, 200, { ...this.counts });
    }
    if (this.faults.isDown) return void response.destroy();
    if (this.faults.delayMs > 0) await sleep(this.faults.delayMs);
    if (!this.#count(request.url!)) {
      return answer(response, 429, { error: "too many requests" });
    }
    if (this.faults.isCorrupt) return void response.end("\u0000{not json");
    try {
      await this.#dispatch(request.url!, body, response);
    } catch (error) {
      answer(response, 400, { error: String(error) });
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
        return answer(response, 200, { ID: id, TTL: body.TTL });
      }
      case "/v3/lease/keepalive": {
        const ttl = this.data.renew(String(body.ID), nowMs);
        return answer(response, 200, {
          result: { ID: body.ID, TTL: String(ttl) },
        });
      }
      case "/v3/lease/revoke":
        this.data.revoke(String(body.ID));
        return answer(response, 200, {});
      case "/v3/watch":
        return this.#watch(body, response);
      default:
        return answer(response, 404, { error: "not found" });
    }
  }

  #range(body: Json, response: ServerResponse): void {
    const entries = this.data.range(
      body.key as string,
      body.range_end as string | undefined,
    );
    answer(response, 200, {
      header: this.#header(),
      kvs: entries.map(toWire),
      count: String(entries.length),
    });
  }

  async #transact(body: Json, response: ServerResponse): Promise<void> {
    if (this.faults.lateWritesMs > 0) {
      // The client may have given up by the time the write takes effect.
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
    const otherwise = (body.failure ?? []) as {
      request_range: { key: string; range_end?: string };
    }[];
    const responses = succeeded ? [] : otherwise.map(({ request_range }) => ({
      response_range: {
        kvs: this.data.range(request_range.key, request_range.range_end)
          .map(toWire),
      },
    }));
    answer(response, 200, { header: this.#header(), succeeded, responses });
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

  /** Counts a call and says whether the budget allows it. */
  #count(url: string): boolean {
    const atS = Math.floor(Date.now() / 1_000);
    if (atS !== this.#second.atS) {
      this.#second = { atS, reads: 0, writes: 0 };
    }
    const isRead = url === "/v3/kv/range" || url === "/v3/watch";
    if (isRead) {
      this.counts.reads++;
      this.#second.reads++;
    } else {
      this.counts.writes++;
      this.#second.writes++;
    }
    const { reads, writes } = this.#second;
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

function answer(response: ServerResponse, status: number, body: Json): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(`${JSON.stringify(body)}\n`);
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString() || "{}";
}
