// A heartbeat with a field of another type ends the daemon that reads it, and with
// it the requests of all callers of that machine.
import { call, configuration, finish, Mesh, route, sleep } from "../lib/mesh.mjs";
import { Connection } from "../lib/connection.mjs";

const CONSUMERS = 8;
const WORK_MS = 600;
/** Depth of the value; the heartbeat has some 12 kB. */
const DEPTH = 6000;
/** Requests that LOST allows to lose. */
const ALLOWED = 3;

const mesh = new Mesh(new URL("record.txt", import.meta.url).pathname);

async function run() {
  await mesh.start(
    configuration(1, [route("stock", "stock")], ["stock", "front"]),
    ["front", "stock", "stock", "stock"].map((service) => ({ service, slots: 12 })),
  );
  const [entry, ...stock] = mesh.instances;
  const results = [];
  let isOver = false;

  async function consume(number) {
    const connection = new Connection(entry.ports.outbound, mesh.record);
    for (let n = 1; !isOver && !connection.isClosed; n++) {
      const id = `r${number}-${n}`;
      results.push(
        await connection.send({
          id,
          path: `/stock/${number}?work=${WORK_MS}`,
          deadlineMs: 3000,
        }),
      );
    }
    connection.destroy();
  }

  const consumers = Array.from({ length: CONSUMERS }, (_, number) => consume(number));
  await sleep(2000);
  if (process.env.TROUBLE !== "0") {
    mesh.record(`${entry.name} gets a heartbeat whose State is an array, ${DEPTH} deep`);
    const state = "[".repeat(DEPTH) + "]".repeat(DEPTH);
    const answer = await call(
      entry.ports.control,
      "POST",
      "/api/rpc?call=instances.heartbeat&of=i-other",
      `{"Service":"front","Address":"${entry.appAddress}","Zone":"zone-a","Version":"v1",` +
        `"Capacity":12,"State":${state},"ColdLeftS":0,"Sequence":1,"born":${Date.now()}}`,
    );
    mesh.record(`the answer to it: ${answer.status || "the connection is cut"}`);
  }
  await sleep(2000);
  isOver = true;
  await Promise.all(consumers);

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
