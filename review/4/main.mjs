// Several callers of one machine send large bodies at once, each within the
// operator's limits. The daemons hold all of them in memory, exceed the limit of
// the machine and are killed, as the platform does it.
import { readFileSync } from "node:fs";
import { request } from "node:http";
import { configuration, finish, Mesh, route, sleep } from "../lib/mesh.mjs";
import { Connection } from "../lib/connection.mjs";

const MB = 1024 * 1024;
/** MemoryMb of the settings of a small deployment. */
const MEMORY_MB = 350;
/** MaxBodyBytes of the configuration is 64 MB. */
const BODY_MB = 20;
const UPLOADS = 16;
const LIMIT_MS = 4000;
const CONSUMERS = 8;
const WORK_MS = 2500;
/** Requests that LOST allows to lose. */
const ALLOWED = 3;

const mesh = new Mesh(new URL("record.txt", import.meta.url).pathname);

/** Anonymous memory of a process; pages of its program file are left out. */
function memoryMb(pid) {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/^RssAnon:\s+(\d+) kB/m.exec(status)?.[1] ?? 0) / 1024;
  } catch {
    return 0; // It has ended.
  }
}

async function run() {
  await mesh.start(
    configuration(1, [
      route("proofs", "proofs", { kind: "upload", timeoutS: LIMIT_MS / 1000 }),
      route("stock", "stock", { timeoutS: LIMIT_MS / 1000 }),
    ], ["proofs", "stock", "front"]),
    ["front", "proofs", "proofs", "proofs", "stock", "stock"].map((service) => ({
      service,
      slots: 12,
    })),
  );
  const [entry] = mesh.instances;
  const stock = mesh.instances.slice(-2);

  // The platform: kills a process that exceeds the memory of its machine.
  const peaksMb = new Map(mesh.instances.map(({ name }) => [name, 0]));
  const killed = new Set();
  const watch = setInterval(() => {
    for (const instance of mesh.instances) {
      const mb = memoryMb(instance.daemon.pid);
      peaksMb.set(instance.name, Math.max(peaksMb.get(instance.name), mb));
      if (mb <= MEMORY_MB || killed.has(instance)) continue;
      killed.add(instance);
      mesh.record(
        `${instance.name} takes ${mb.toFixed(0)} MB of ${MEMORY_MB}; the platform kills it`,
      );
      instance.signal("SIGKILL");
    }
  }, 10);

  const results = [];
  let isOver = false;
  async function consume(number) {
    const connection = new Connection(entry.ports.outbound, mesh.record);
    for (let n = 1; !isOver && !connection.isClosed; n++) {
      results.push(
        await connection.send({
          id: `r${number}-${n}`,
          path: `/stock/${number}?work=${WORK_MS}`,
          deadlineMs: 3000,
        }),
      );
    }
    connection.destroy();
  }

  const body = Buffer.alloc(BODY_MB * MB, "p");
  function upload(number) {
    const id = `upload-${number}`;
    return new Promise((done) => {
      const settle = (text) => {
        mesh.record(`${id}: ${text}`);
        done();
      };
      const sending = request({
        port: entry.ports.outbound,
        host: "127.0.0.1",
        agent: false,
        method: "POST",
        path: `/proofs/${number}?work=190`,
        headers: {
          host: "shop.example",
          "x-attempt-id": id,
          "x-deadline-ms": String(LIMIT_MS),
          "content-length": body.length,
        },
      }, (response) => {
        response.resume();
        response.on("end", () => settle(response.statusCode));
        response.on("error", () => settle("cut"));
      });
      sending.on("error", ({ code }) => settle(code));
      sending.end(body);
    });
  }

  const consumers = Array.from({ length: CONSUMERS }, (_, number) => consume(number));
  await sleep(2000);
  if (process.env.TROUBLE === "0") {
    // The same uploads, one after another.
    for (let n = 1; n <= UPLOADS; n++) {
      await upload(n);
      await sleep(2000);
    }
  } else {
    mesh.record(`${UPLOADS} uploads of ${BODY_MB} MB are sent at once`);
    await Promise.all(Array.from({ length: UPLOADS }, (_, index) => upload(index + 1)));
  }
  await sleep(2000);
  isOver = true;
  await Promise.all(consumers);
  clearInterval(watch);

  for (const [name, mb] of peaksMb) mesh.record(`${name}: ${mb.toFixed(0)} MB at most`);
  const runs = new Set(stock.flatMap(({ upstream }) => upstream.runs));
  const lost = results.filter(({ id, status }) => status === 0 && runs.has(id));
  mesh.record(
    `${results.length} requests on kept connections, ${lost.length} of them passed on to ` +
      `an upstream and cut without an answer: ${lost.map(({ id }) => id).join(", ")}`,
  );
  const isLost = lost.length > ALLOWED;
  mesh.record(`LOST is ${isLost ? "broken" : "kept"}`);
  return isLost;
}

await finish(mesh, run);
