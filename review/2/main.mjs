// An upstream leaves while the store is down, and its daemon acknowledges that. The
// daemon is killed and starts again. A heartbeat of before arrives late at it, and
// the upstream that has left is in use again.
import { call, configuration, finish, Mesh, route, send, sleep } from "../lib/mesh.mjs";

/** Bounds of the site, in ms. */
const DRAIN_MS = 2000;
const STABLE_MS = 3000;
/** How long the store is down, and how late the heartbeat is, in ms. */
const DOWN_MS = 4500;
const LATE_MS = 2000;
/** Time after the last disruption from which requests count, in ms. */
const SETTLED_MS = STABLE_MS + 1000;
const MEASURED_MS = 5000;
const PERIOD_MS = 30;
const WORK_MS = 200;

const mesh = new Mesh(new URL("record.txt", import.meta.url).pathname);

async function run() {
  const hasTrouble = process.env.TROUBLE !== "0";
  await mesh.start(
    configuration(1, [route("stock", "stock")], ["stock", "front"]),
    ["front", "stock", "stock", "front", "stock"].map((service) => ({ service, slots: 4 })),
  );
  // Those of one zone.
  const [first, , , second, leaving] = mesh.instances;
  const { upstream } = leaving;
  let isOver = false;
  const consumer = (async () => {
    for (let n = 1; !isOver; n++) {
      const id = `r${n}`;
      const entry = n % 2 === 0 ? first : second;
      void send(entry, { id, host: "shop.example", path: `/stock/1?work=${WORK_MS}` })
        .then(({ status }) => mesh.record(`${id} at ${entry.name}: ${status || "no answer"}`));
      await sleep(PERIOD_MS);
    }
  })();
  await sleep(2000);

  const downAtMs = performance.now();
  if (hasTrouble) {
    mesh.store.isDown = true;
    mesh.record("the store goes down");
  }
  await sleep(300);
  leaving.isBeating = false;
  const lateSequence = ++leaving.sequence;
  const sentAtMs = performance.now();
  mesh.record(`${upstream.id} sends heartbeat ${lateSequence}, which is held up`);
  await sleep(100);
  upstream.isLeaving = true;
  const leave = await call(
    leaving.ports.control,
    "POST",
    `/api/rpc?call=instances.leave&of=${upstream.id}`,
    { born: leaving.born },
  );
  const ackedAtMs = performance.now();
  mesh.record(`${upstream.id} leaves; ${leaving.name} answers ${leave.status}`);
  if (leave.status !== 200) throw new Error("the leave has no ack");

  await sleep(300);
  if (hasTrouble) {
    leaving.signal("SIGKILL");
    await leaving.exited;
    await sleep(300);
    leaving.run();
  }
  await sleep(Math.max(0, sentAtMs + LATE_MS - performance.now()));
  const beat = await leaving.beat("ready", { Sequence: lateSequence });
  mesh.record(`heartbeat ${lateSequence} arrives late; the answer is ${beat.status}`);
  await sleep(Math.max(0, downAtMs + DOWN_MS - performance.now()));
  if (hasTrouble) {
    mesh.store.isDown = false;
    mesh.record("the store is back");
  }
  await sleep(SETTLED_MS);

  const sinceAckMs = performance.now() - ackedAtMs;
  mesh.record(`all machines are in touch, ${(sinceAckMs / 1000).toFixed(1)} s after the ack`);
  const runsBefore = upstream.runs.length;
  await sleep(MEASURED_MS);
  const runs = upstream.runs.slice(runsBefore);
  isOver = true;
  await consumer;
  await sleep(500);

  mesh.record(`requests that ${upstream.id} ran since then: ${runs.join(", ") || "none"}`);
  const isBroken = sinceAckMs > DRAIN_MS && runs.length > 0;
  mesh.record(`DRAIN is ${isBroken ? "broken" : "kept"}`);
  return isBroken;
}

await finish(mesh, run);
