// Connections go silent for good, once. Afterwards the upstreams of one service
// are idle and well, and their daemons never give them a request again.
import { configuration, finish, Mesh, route, send, sleep } from "../lib/mesh.mjs";

/** Slots of each upstream of the service under test. */
const SLOTS = 4;
/** Work on a request, in ms. */
const WORK_MS = 500;
/** Consumers of each kind: together they ask for half as much again as the slots. */
const CONSUMERS = 60;
/** Time from one request of a consumer to its next one, in ms. */
const PERIOD_MS = 1600;
/** Time limit of a consumer, and longest time that the route allows, in ms. */
const LIMIT_MS = 1500;
/** Time before and after the disruption, in ms. All requests count. */
const BEFORE_MS = 3000;
const AFTER_MS = 37_000;

const mesh = new Mesh(new URL("record.txt", import.meta.url).pathname);

async function run() {
  const proxied = { proxyPeers: true, proxyUpstream: true };
  await mesh.start(
    configuration(1, [
      route("stock", "stock", { timeoutS: LIMIT_MS / 1000 }),
      route("page", "front", { timeoutS: LIMIT_MS / 1000 }),
    ], ["stock", "front"]),
    [
      { service: "front", slots: 40, ...proxied },
      { service: "front", slots: 40, ...proxied },
      ...Array.from({ length: 3 }, () => ({ service: "stock", slots: SLOTS, ...proxied })),
    ],
  );
  const [first, second, ...stock] = mesh.instances;
  const tally = { stock: [0, 0], page: [0, 0] };
  let isOver = false;
  let last = 0;

  async function consume(kind, entry) {
    while (!isOver) {
      const sentAtMs = performance.now();
      const id = `${kind}-${++last}`;
      const answer = await send(entry, {
        id,
        host: "shop.example",
        path: `/${kind}/1?work=${WORK_MS}`,
        deadlineMs: LIMIT_MS,
      });
      mesh.record(`${id} at ${entry.name}: ${answer.status || "no answer"}`);
      tally[kind][0]++;
      if (answer.status === 200) tally[kind][1]++;
      await sleep(Math.max(0, sentAtMs + PERIOD_MS - performance.now()));
    }
  }

  const consumers = [];
  for (let n = 0; n < CONSUMERS; n++) {
    consumers.push(consume("stock", n % 2 === 0 ? first : second));
    consumers.push(consume("page", n % 2 === 0 ? first : second));
    await sleep(PERIOD_MS / CONSUMERS);
  }
  await sleep(BEFORE_MS);
  if (process.env.TROUBLE !== "0") {
    let count = 0;
    for (const { peerProxy, upstreamProxy } of mesh.instances) {
      count += peerProxy.silenceOpen() + upstreamProxy.silenceOpen();
    }
    mesh.record(`${count} open connections go silent; new ones work`);
  }
  // What was open at that moment has ended by then.
  await sleep(2 * LIMIT_MS);
  const runsBefore = stock.map(({ upstream }) => upstream.runs.length);
  await sleep(AFTER_MS);
  isOver = true;
  await Promise.all(consumers);

  const runs = stock.map(({ upstream }, index) => upstream.runs.length - runsBefore[index]);
  mesh.record(
    `runs at the upstreams of stock in the last ${AFTER_MS / 1000} s: ${runs.join(", ")}`,
  );
  for (const [kind, [asked, served]] of Object.entries(tally)) {
    mesh.record(`${kind}: ${asked} asked, ${served} served`);
  }
  const share = ([asked, served]) => served / asked;
  const all = [tally.stock[0] + tally.page[0], tally.stock[1] + tally.page[1]];
  const isStarved = share(tally.stock) < share(all) / 4;
  mesh.record(
    isStarved
      ? `Starved is broken: ${share(tally.stock).toFixed(3)} of stock, ${
        share(all).toFixed(3)
      } of all`
      : `Starved is kept: ${share(tally.stock).toFixed(3)} of stock, ${
        share(all).toFixed(3)
      } of all`,
  );
  return isStarved;
}

await finish(mesh, run);
