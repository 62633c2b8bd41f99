// Stand-in of an application upstream. It runs at most `slots` requests at a
// time, queues a few more, and stops work at X-Deadline-Ms, as a sound one does.
import { createServer } from "node:http";

export class Upstream {
  #queue = [];
  #running = 0;
  #server;
  /** Attempt ids in the order in which work on them began. */
  runs = [];
  isLeaving = false;
  /** Returns bytes to send in place of the answer to a request; none if sound. */
  spoil = () => undefined;

  constructor({ id, service, slots = 4, queue = 8, record = () => {} }) {
    Object.assign(this, { id, service, slots, queueSize: queue, record });
    this.#server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("end", () => this.#accept(request, response, Buffer.concat(chunks)));
    });
  }

  async start() {
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    this.port = this.#server.address().port;
    return this;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #accept(request, response, body) {
    const url = new URL(request.url, "http://upstream");
    if (url.pathname === "/health") {
      response.writeHead(this.isLeaving ? 503 : 200, { "x-instance-id": this.id }).end();
      return;
    }
    const attempt = request.headers["x-attempt-id"] ?? "";
    const expected = request.headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "x-instance-id": this.id, "x-not-executed": "1" }).end();
      return;
    }
    const deadlineMs = performance.now() + Number(request.headers["x-deadline-ms"] ?? 5000);
    const job = { attempt, url, request, response, body, deadlineMs };
    if (this.#running < this.slots) this.#run(job);
    else if (this.#queue.length < this.queueSize) this.#queue.push(job);
    else this.#refuse(job);
  }

  #refuse({ attempt, response }) {
    response.writeHead(503, { "x-attempt-id": attempt, "x-not-executed": "1" }).end();
  }

  #run(job) {
    const { attempt, url, response, deadlineMs } = job;
    this.#running++;
    this.runs.push(attempt);
    this.record(`${this.id} runs ${attempt} ${job.request.method} ${url.pathname}${url.search}`);
    const workMs = Number(url.searchParams.get("work") ?? 20);
    const leftMs = Math.max(0, deadlineMs - performance.now());
    const status = workMs <= leftMs ? 200 : 504;
    let isOver = false;
    const finish = (write) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      this.#running--;
      write();
      this.#next();
    };
    const timer = setTimeout(() =>
      finish(() => {
        const spoiled = this.spoil(attempt);
        if (spoiled !== undefined) {
          this.record(`${this.id} answers ${attempt} with ${JSON.stringify(spoiled)}`);
          response.socket.write(spoiled);
          return;
        }
        const text = `${this.id} ${attempt}\n`;
        this.record(`${this.id} answers ${attempt} ${status}`);
        response.writeHead(status, {
          "x-attempt-id": attempt,
          "x-response-stamp": `${this.id}.${attempt}`,
          "content-length": text.length,
        }).end(text);
      }), Math.min(workMs, leftMs));
    response.once("close", () =>
      finish(() => {
        this.record(`${this.id} drops ${attempt}: its connection closed`);
      }));
  }

  #next() {
    const job = this.#queue.shift();
    if (job === undefined) return;
    if (job.response.destroyed) this.#next();
    else if (performance.now() >= job.deadlineMs) {
      this.#refuse(job);
      this.#next();
    } else this.#run(job);
  }
}
