// An upstream answers one request with bytes that are not a response. The daemon
// next to it stands still for seconds, for all callers of its machine.
import { configuration, finish, Mesh, route, sleep } from "../lib/mesh.mjs";
import { Connection } from "../lib/connection.mjs";

const TIMEOUT_MS = 800;
/** Time after the route's time-out in which an answer must come, in ms. */
const SLACK_MS = 500;
const CONSUMERS = 12;
/** Time from one request of a consumer to its next one, in ms. */
const PERIOD_MS = 300;
/** Time for which the faulty upstream answers so, and time after it, in ms. */
const MEASURED_MS = 10_000;

const mesh = new Mesh(new URL("record.txt", import.meta.url).pathname);

async function run() {
  await mesh.start(
    configuration(1, [
      route("stock", "stock", { timeoutS: TIMEOUT_MS / 1000, attempts: 1 }),
      route("page", "front", { timeoutS: TIMEOUT_MS / 1000 }),
    ], ["stock", "front"]),
    ["stock", "front", "front"].map((service) => ({ service, slots: 12 })),
  );
  const [entry] = mesh.instances;
  const results = [];
  let isOver = false;

  async function consume(number) {
    for (let n = 1; !isOver; n++) {
      const connection = new Connection(entry.ports.outbound, mesh.record);
      const sent = connection.send({
        id: `page${number}-${n}`,
        path: `/page/${number}?work=50`,
        deadlineMs: 4000,
      }).then((result) => {
        results.push(result);
        connection.destroy();
      });
      await sleep(PERIOD_MS);
      if (isOver) await sent;
    }
  }

  const consumers = Array.from({ length: CONSUMERS }, (_, number) => consume(number));
  await sleep(2000);
  if (process.env.TROUBLE !== "0") {
    entry.upstream.spoil = (id) =>
      id.startsWith("stock") ? "HTTP/1.1 000 \r\ncontent-length: 0\r\n\r\n" : undefined;
  }
  const connection = new Connection(entry.ports.outbound, mesh.record);
  const stock = connection.send({ id: "stock-1", path: "/stock/1?work=50", deadlineMs: 4000 });
  await sleep(MEASURED_MS);
  isOver = true;
  await Promise.all([...consumers, stock]);
  await sleep(4000);
  connection.destroy();

  // Also counts those whose consumers gave up or were cut.
  const unanswered = results.filter(({ status, tookMs }) => status === 0 || tookMs > TIMEOUT_MS);
  const late = unanswered.filter(({ status, tookMs }) =>
    status === 0 || tookMs > TIMEOUT_MS + SLACK_MS
  );
  mesh.record(
    `${results.length} requests for pages, ${unanswered.length} unanswered after ` +
      `${TIMEOUT_MS} ms, ${late.length} of them also ${SLACK_MS} ms later`,
  );
  const longest = Math.max(...results.map(({ tookMs }) => tookMs));
  mesh.record(`the longest took ${longest} ms`);
  const isBroken = late.length > unanswered.length / 2;
  mesh.record(`CONFIG is ${isBroken ? "broken" : "kept"}`);
  return isBroken;
}

await finish(mesh, run);
