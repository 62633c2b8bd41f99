// Stand-in of the platform's store: keys, ranges, watches, transactions, leases.
import { createServer } from "node:http";

export class Store {
  #items = new Map();
  #leases = new Map();
  #history = [];
  #revision = 1;
  #lastLease = 0;
  #waiters = new Set();
  #server = createServer((request, response) => this.#handle(request, response));
  #timer = setInterval(() => this.#expire(), 100);
  /** Whether the store is down: it answers no call, and leases pause. */
  isDown = false;

  async start() {
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    return this;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** Writes a value as the operator does; the return is the ack. */
  put(key, value) {
    this.#write(key, Buffer.from(value).toString("base64"), 0);
    this.#notify();
  }

  get(key) {
    const item = this.#items.get(key);
    return item && Buffer.from(item.Value, "base64").toString();
  }

  stop() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(request, response) {
    const url = new URL(request.url, "http://store");
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const body = text === "" ? {} : JSON.parse(text);
    // Nothing is done while it is down, and no answer comes.
    if (this.isDown) return;
    const [status, answer] = await this.#answer(request.method, url, body);
    if (response.destroyed || this.isDown) return;
    response.writeHead(status, { "content-type": "application/json" })
      .end(JSON.stringify(answer));
  }

  #answer(method, url, body) {
    const query = url.searchParams;
    const [, , call, id] = url.pathname.split("/");
    switch (call) {
      case "kv-key": {
        const item = this.#items.get(query.get("Key"));
        return item ? [200, { ...item, At: this.#revision }] : [404, { At: this.#revision }];
      }
      case "kv-range":
        return this.#range(query.get("Prefix") ?? "", query.get("after") ?? "");
      case "kv-watch":
        return this.#watch(query);
      case "kv-txn":
        return this.#commit(body);
      case "kv-lease": {
        const lease = ++this.#lastLease;
        this.#leases.set(lease, { ttlS: body.TtlS, endMs: this.#end(body.TtlS) });
        return [200, { LeaseId: lease, TtlS: body.TtlS }];
      }
      case "kv-keep": {
        const lease = this.#leases.get(Number(id));
        if (lease === undefined) return [404, {}];
        lease.endMs = this.#end(lease.ttlS);
        return [200, { TtlS: lease.ttlS }];
      }
      case "kv-lease-end":
        this.#endLease(Number(id));
        return [200, {}];
      default:
        return [404, { method }];
    }
  }

  #end(ttlS) {
    return performance.now() + ttlS * 1000;
  }

  #range(prefix, after) {
    const items = [...this.#items.values()]
      .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
      .sort((a, b) => (a.Key < b.Key ? -1 : 1));
    return [200, {
      items: items.slice(0, 500),
      HasMore: items.length > 500,
      At: this.#revision,
    }];
  }

  async #watch(query) {
    const prefix = query.get("Prefix") ?? "";
    const after = Number(query.get("after"));
    const endMs = performance.now() + Number(query.get("WaitMs"));
    for (;;) {
      const events = this.#history.filter(({ Key, Rev }) => Rev > after && Key.startsWith(prefix));
      const leftMs = endMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return [200, { events, At: this.#revision }];
      }
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          this.#waiters.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, leftMs);
        this.#waiters.add(finish);
      });
    }
  }

  #commit({ Expect = [], Puts = [], Remove = [] }) {
    const rev = (key) => this.#items.get(key)?.Rev ?? 0;
    if (!Expect.every(({ Key, Rev }) => rev(Key) === Rev)) {
      const items = Expect.flatMap(({ Key }) => this.#items.get(Key) ?? []);
      return [412, { items }];
    }
    if (!Puts.every(({ LeaseId }) => !LeaseId || this.#leases.has(LeaseId))) {
      return [404, {}];
    }
    for (const { Key, Value, LeaseId } of Puts) this.#write(Key, Value, LeaseId ?? 0);
    for (const key of Remove) this.#delete(key);
    this.#notify();
    return [200, { Rev: this.#revision }];
  }

  #expire() {
    const nowMs = performance.now();
    for (const lease of this.#leases.values()) {
      if (this.isDown) lease.endMs += 100;
    }
    for (const [id, { endMs }] of this.#leases) {
      if (endMs <= nowMs) this.#endLease(id);
    }
  }

  #endLease(id) {
    this.#leases.delete(id);
    for (const { Key, LeaseId } of [...this.#items.values()]) {
      if (LeaseId === id) this.#delete(Key);
    }
    this.#notify();
  }

  #write(key, value, lease) {
    const Rev = ++this.#revision;
    const Created = this.#items.get(key)?.Created ?? Rev;
    const item = { Key: key, Value: value, Rev, Created, LeaseId: lease };
    this.#items.set(key, item);
    this.#history.push(item);
  }

  #delete(key) {
    if (!this.#items.delete(key)) return;
    this.#history.push({ Key: key, Rev: ++this.#revision, Deleted: true });
  }

  #notify() {
    for (const waiter of [...this.#waiters]) waiter();
  }
}
