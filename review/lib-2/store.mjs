// Stand-in of the platform's key-value store, as PROTOCOL.md describes it.
import { createServer } from "node:http";

const MAX_WATCH_MS = 30_000;

/** Key-value store with leases, transactions and watches, kept in memory. */
export class Store {
  #items = new Map();
  #leases = new Map();
  #history = [];
  #revision = 1;
  #nextLease = 1;
  #waiters = new Set();
  #sockets = new Set();
  #server;
  /** While true, the store refuses connections' calls by resetting them. */
  isDown = false;

  static async start(host = "127.0.0.1") {
    const store = new Store();
    store.#server = createServer((request, response) => {
      store.#handle(request, response).catch(() => response.destroy());
    });
    store.#server.keepAliveTimeout = 60_000;
    store.#server.on("connection", (socket) => {
      if (store.isDown) return socket.resetAndDestroy();
      store.#sockets.add(socket);
      socket.on("error", () => {});
      socket.once("close", () => store.#sockets.delete(socket));
    });
    await new Promise((resolve) => store.#server.listen(0, host, resolve));
    store.address = `${host}:${store.#server.address().port}`;
    store.expiry = setInterval(() => store.#expire(Date.now()), 50);
    return store;
  }

  stop() {
    clearInterval(this.expiry);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Takes the store down; with `lapse`, all leases run out meanwhile. */
  goDown({ lapse }) {
    this.isDown = true;
    for (const socket of this.#sockets) socket.resetAndDestroy();
    if (lapse) this.#expire(Infinity);
  }

  comeBack() {
    this.isDown = false;
  }

  /** Writes a value as the operator does. */
  put(key, value) {
    this.#write(key, Buffer.from(value).toString("base64"), 0);
    this.#wake();
    return this.#revision;
  }

  get(key) {
    const item = this.#items.get(key);
    return item && Buffer.from(item.Value, "base64").toString();
  }

  keys(prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix));
  }

  #write(key, value, lease) {
    const created = this.#items.get(key)?.Created;
    this.#revision++;
    const item = {
      Key: key,
      Value: value,
      Rev: this.#revision,
      Created: created ?? this.#revision,
      LeaseId: lease,
    };
    this.#items.set(key, item);
    this.#history.push(item);
  }

  #remove(key) {
    if (!this.#items.delete(key)) return;
    this.#revision++;
    this.#history.push({ Key: key, Rev: this.#revision, Deleted: true });
  }

  #wake() {
    for (const waiter of [...this.#waiters]) waiter();
  }

  #expire(now) {
    for (const [id, lease] of this.#leases) {
      if (lease.endsAt > now) continue;
      if (this.isDown && now !== Infinity) continue;
      this.#endLease(id);
    }
  }

  #endLease(id) {
    if (!this.#leases.delete(id)) return false;
    for (const item of [...this.#items.values()]) {
      if (item.LeaseId === id) this.#remove(item.Key);
    }
    this.#wake();
    return true;
  }

  async #handle(request, response) {
    const url = new URL(request.url, "http://store");
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.isDown) return response.destroy();
    const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks)) : {};
    const [status, answer] = await this.#answer(request.method, url, body);
    if (this.isDown || response.destroyed) return response.destroy();
    const text = JSON.stringify(answer);
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    }).end(text);
  }

  async #answer(method, url, body) {
    const query = url.searchParams;
    const path = url.pathname;
    if (method === "GET" && path === "/api/kv-key") {
      const item = this.#items.get(query.get("Key"));
      return item ? [200, { ...item, At: this.#revision }] : [404, {}];
    }
    if (method === "GET" && path === "/api/kv-range") {
      const prefix = query.get("Prefix") ?? "";
      const after = query.get("after") ?? "";
      const items = [...this.#items.values()]
        .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
        .sort((a, b) => (a.Key < b.Key ? -1 : 1));
      return [200, {
        items: items.slice(0, 500),
        HasMore: items.length > 500,
        At: this.#revision,
      }];
    }
    if (method === "GET" && path === "/api/kv-watch") {
      return await this.#watch(query);
    }
    if (method === "POST" && path === "/api/kv-txn") return this.#commit(body);
    if (method === "POST" && path === "/api/kv-lease") {
      const id = this.#nextLease++;
      const ttl = Math.max(1, Math.min(600, body.TtlS));
      this.#leases.set(id, { ttl, endsAt: Date.now() + ttl * 1_000 });
      return [200, { LeaseId: id, TtlS: ttl }];
    }
    if (method === "POST" && path.startsWith("/api/kv-keep/")) {
      const lease = this.#leases.get(Number(path.split("/").at(-1)));
      if (lease === undefined) return [404, {}];
      lease.endsAt = Date.now() + lease.ttl * 1_000;
      return [200, { TtlS: lease.ttl }];
    }
    if (method === "DELETE" && path.startsWith("/api/kv-lease-end/")) {
      return [this.#endLease(Number(path.split("/").at(-1))) ? 200 : 404, {}];
    }
    return [404, {}];
  }

  async #watch(query) {
    const prefix = query.get("Prefix") ?? "";
    const after = Number(query.get("after"));
    const wait = Math.min(MAX_WATCH_MS, Number(query.get("WaitMs")));
    const until = Date.now() + wait;
    for (;;) {
      const events = this.#history.filter(({ Key, Rev }) =>
        Rev > after && Key.startsWith(prefix)
      );
      const left = until - Date.now();
      if (events.length > 0 || left <= 0 || this.isDown) {
        return [200, { events, At: this.#revision }];
      }
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          this.#waiters.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, left);
        this.#waiters.add(finish);
      });
    }
  }

  #commit({ Expect = [], Puts = [], Remove = [] }) {
    const fails = Expect.some(({ Key, Rev }) =>
      (this.#items.get(Key)?.Rev ?? 0) !== Rev
    );
    if (fails) {
      const items = Expect.flatMap(({ Key }) => this.#items.get(Key) ?? []);
      return [412, { items }];
    }
    const isLost = Puts.some(({ LeaseId = 0 }) =>
      LeaseId !== 0 && !this.#leases.has(LeaseId)
    );
    if (isLost) return [404, {}];
    for (const { Key, Value, LeaseId = 0 } of Puts) {
      this.#write(Key, Value, LeaseId);
    }
    for (const key of Remove) this.#remove(key);
    this.#wake();
    return [200, { Rev: this.#revision }];
  }
}
