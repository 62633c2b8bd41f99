// A machine of a small deployment: the daemon, started with the command and the
// settings template of the deploy file, and a stand-in of its upstream.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request as sendRequest } from "node:http";
import { createServer as createNetServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
const DEPLOY = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
const RUN = /^run = "(.*)"$/m.exec(DEPLOY)[1].split(" ");
const TEMPLATE = readFileSync(
  join(ROOT, /^template = "(.*)"$/m.exec(DEPLOY)[1]),
  "utf8",
);

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** Fills in the placeholders of the settings template. */
function render(fields) {
  return TEMPLATE.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, json) => {
    const value = path.split(".").reduce((part, name) => part?.[name], fields);
    if (json !== undefined) return JSON.stringify(value);
    return value === undefined ? "" : String(value);
  });
}

async function findPort(host) {
  const server = createNetServer();
  await new Promise((done) => server.listen(0, host, done));
  const { port } = server.address();
  await new Promise((done) => server.close(done));
  return port;
}

/** An upstream; `handle(run, response)` decides how a run ends. */
export class Upstream {
  runs = [];
  isDraining = false;
  isHealthy = true;

  static async start(host, id, handle) {
    const upstream = new Upstream();
    upstream.id = id;
    upstream.handle = handle;
    upstream.born = Date.now();
    upstream.sequence = 0;
    upstream.server = createServer((request, response) =>
      upstream.#serve(request, response)
    );
    upstream.server.keepAliveTimeout = 10_000;
    upstream.port = await findPort(host);
    await new Promise((done) =>
      upstream.server.listen(upstream.port, host, done)
    );
    upstream.address = `${host}:${upstream.port}`;
    return upstream;
  }

  #serve(request, response) {
    const { headers } = request;
    if (request.url === "/health") {
      request.resume();
      const isGood = this.isHealthy && !this.isDraining;
      response.writeHead(isGood ? 200 : 503, {
        "x-instance-id": this.id,
        "content-length": 0,
      }).end();
      return;
    }
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      const expected = headers["x-expect-instance"];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, {
          "x-instance-id": this.id,
          "content-length": 0,
        }).end();
        return;
      }
      const run = {
        id: headers["x-attempt-id"],
        at: Date.now(),
        upstream: this.id,
        method: request.method,
        path: request.url,
        tenant: headers["x-tenant"],
        caller: headers["x-caller-service"],
        bodyBytes: Buffer.concat(chunks).length,
        end: "none",
      };
      this.runs.push(run);
      response.once("close", () => {
        if (run.end === "none") run.end = "cut";
      });
      this.handle(run, response, this);
    });
  }

  /** Answers a run with a body. */
  answer(run, response, body = "ok") {
    if (response.destroyed) return;
    run.end = "answered";
    response.writeHead(200, {
      "x-attempt-id": run.id,
      "x-response-stamp": `${this.id}.${run.id}`,
      "content-length": Buffer.byteLength(body),
    }).end(body);
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** One machine. */
export class Machine {
  exits = [];
  output = "";
  #isEnding = false;

  static async start(options) {
    const machine = new Machine();
    const { index, store, zone, service = "shop", handle } = options;
    machine.options = options;
    machine.host = `127.0.${(process.pid % 200) + 20}.${index + 1}`;
    const { host } = machine;
    machine.name = `sidecar-${zone}-${index + 1}`;
    machine.folder = mkdtempSync(join(tmpdir(), "case-"));
    machine.upstream = await Upstream.start(
      host,
      `i-${index + 1}-${process.pid}`,
      handle,
    );
    const [inbound, outbound, ready, control] = [
      await findPort(host),
      await findPort(host),
      await findPort(host),
      await findPort(host),
    ];
    Object.assign(machine, { inbound, outbound, ready, control, service });
    machine.settings = join(machine.folder, "settings.jsonc");
    writeFileSync(
      machine.settings,
      render({
        NodeName: machine.name,
        Zone: zone,
        Service: service,
        BindIp: host,
        AppAddr: machine.upstream.address,
        Listen: {
          Inbound: `${host}:${inbound}`,
          Outbound: `${host}:${outbound}`,
          Ready: `${host}:${ready}`,
          Control: `${host}:${control}`,
        },
        Provider: { Address: store.address },
        Limits: { LinkMbps: 1000, MemoryMb: 350, ...options.limits },
        Contracts: options.contracts ??
          "base,drain,config,cost,retry,recover,platform",
        Bounds: options.bounds ?? ["GraceS=6", "RetryRatio=0.2",
          "BudgetWindowS=10", "RetrySlack=58"],
      }),
    );
    machine.spawn();
    machine.beat();
    machine.beats = setInterval(() => machine.beat(), 870);
    return machine;
  }

  spawn() {
    const child = spawn(RUN[0], RUN.slice(1), {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: this.folder,
        SESAMEPOND_CONFIG: this.settings,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.child = child;
    const keep = (chunk) => {
      this.output = (this.output + chunk).slice(-2_000_000);
    };
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    child.once("exit", (code, signal) => {
      this.exits.push({ pid: child.pid, code, signal, at: Date.now() });
    });
    return child;
  }

  get pid() {
    return this.child.pid;
  }

  get hasExited() {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  signal(name) {
    if (!this.hasExited) this.child.kill(name);
  }

  async waitForExit(ms) {
    const until = Date.now() + ms;
    while (!this.hasExited && Date.now() < until) await sleep(20);
    return this.hasExited;
  }

  /** Sends a heartbeat; returns whether it was acknowledged. */
  async beat(fields = {}) {
    if (this.#isEnding) return false;
    const { upstream } = this;
    if (this.isSilent) return false;
    const answer = await call(this.host, this.control, {
      method: "POST",
      path: `/api/rpc?call=instances.heartbeat&of=${upstream.id}`,
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        Service: this.service,
        Address: upstream.address,
        Zone: this.options.zone,
        Version: "v1",
        Capacity: this.options.capacity ?? 18,
        State: upstream.isDraining ? "draining" : "ready",
        ColdLeftS: 0,
        Sequence: ++upstream.sequence,
        born: upstream.born,
        ...fields,
      }),
      timeout: 1_000,
    });
    return answer.status === 200;
  }

  async isReady() {
    const { status } = await call(this.host, this.ready, {
      path: "/api/ready",
      timeout: 1_000,
    });
    return status === 200;
  }

  async metrics() {
    const answer = await call(this.host, 9464, { path: "/metrics" });
    return answer.body ?? "";
  }

  /** Resident memory of the daemon, in MB. */
  memoryMb() {
    try {
      const text = readFileSync(`/proc/${this.pid}/status`, "utf8");
      return Math.round(Number(/VmRSS:\s+(\d+)/.exec(text)[1]) / 1024);
    } catch {
      return 0;
    }
  }

  async end() {
    this.#isEnding = true;
    clearInterval(this.beats);
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await this.waitForExit(3_000);
    this.upstream.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Sends one request on a new connection; never rejects. */
export function call(host, port, options) {
  const { body, timeout = 5_000, headers = {}, agent = false } = options;
  return new Promise((done) => {
    const request = sendRequest({
      host,
      port,
      method: options.method ?? "GET",
      path: options.path,
      headers: body === undefined
        ? headers
        : { "content-length": Buffer.byteLength(body), ...headers },
      agent,
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => done({ status: 0 }));
      response.on("end", () =>
        done({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
          isComplete: response.complete,
        }));
      response.on("close", () => done({ status: 0 }));
    });
    request.on("error", () => done({ status: 0 }));
    request.setTimeout(timeout, () => request.destroy());
    request.end(body);
  });
}

let nextId = 1;
/** A new id of a consumer attempt. */
export const newId = (prefix = "a") =>
  `${prefix}${process.pid.toString(16)}${(nextId++).toString(16)}`;

/** A consumer's request through a machine. */
export function ask(machine, path, options = {}) {
  const id = options.id ?? newId();
  return call(machine.host, machine.outbound, {
    ...options,
    path,
    headers: {
      host: "shop.example",
      "x-attempt-id": id,
      "x-deadline-ms": String(options.deadlineMs ?? 3_000),
      ...options.headers,
    },
    timeout: options.timeout ?? (options.deadlineMs ?? 3_000) + 3_000,
  }).then((answer) => ({ id, ...answer }));
}

/** A configuration with an idempotent, an unsafe and an upload route. */
export function config(version, extra = {}) {
  const rule = (name, kind, more = {}) => ({
    Name: `r-${name}`,
    Kind: kind,
    SloS: 0.5,
    Priority: 0,
    Match: { Prefix: `/${name}/` },
    Action: { Service: "shop", TimeoutS: 5, Attempts: 2 },
    ...more,
  });
  return JSON.stringify({
    Version: `r${version}`,
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 67108864,
      HeaderTimeoutS: 3,
      IdleTimeoutS: 15,
    },
    Listeners: [{
      Host: "shop.example",
      Policy: [
        rule("read", "idempotent"),
        rule("order", "non_idempotent"),
        rule("upload", "upload"),
      ],
    }],
    Backends: [{
      Name: "shop",
      HealthPath: "/health",
      MaxConns: 110,
      Protocol: "h1",
      Tls: false,
    }],
    ...extra,
  });
}

/** Waits until a condition holds; returns whether it does. */
export async function until(condition, ms) {
  const end = Date.now() + ms;
  for (;;) {
    if (await condition()) return true;
    if (Date.now() > end) return false;
    await sleep(50);
  }
}

/** Waits until all machines are ready and each knows all upstreams. */
export async function settle(machines) {
  return await until(async () => {
    for (const machine of machines) {
      if (!await machine.isReady()) return false;
      const text = await machine.metrics();
      if (!text.includes(`backends_known ${machines.length}\n`)) return false;
    }
    return true;
  }, 20_000);
}
