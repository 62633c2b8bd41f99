import { Worker } from "node:worker_threads";

/** Worker that connects callers and reports how many got a response. */
const WORKER_SOURCE = `
  const { connect } = require("node:net");
  const { parentPort, workerData } = require("node:worker_threads");
  const { port, callers, head, connected } = workerData;
  let open = callers;
  let answered = 0;
  for (let index = 0; index < callers; index++) {
    const socket = connect(port, "127.0.0.1", () => {
      socket.write(head);
      Atomics.add(connected, 0, 1);
      Atomics.notify(connected, 0);
    });
    socket.once("data", () => answered++);
    socket.on("error", () => {});
    socket.once("close", () => {
      if (--open === 0) parentPort.postMessage(answered);
    });
  }
`;

/**
 * Blocks this thread until callers have connected to a port of this process.
 *
 * @param port Port on the loopback address.
 * @param callers Number of callers that connect and send a request each.
 * @param head Head of the request without the empty line at its end.
 * @returns `answered`, which resolves to the number of callers that got a
 * response once all connections are closed.
 */
export function blockUntilCallersConnect(
  port: number,
  callers: number,
  head: string,
): { readonly answered: Promise<number> } {
  const connected = new Int32Array(new SharedArrayBuffer(4));
  const worker = new Worker(WORKER_SOURCE, {
    eval: true,
    workerData: { port, callers, head: `${head}\r\n\r\n`, connected },
  });
  const answered = new Promise<number>((resolve) =>
    worker.once("message", resolve)
  );
  while (Atomics.load(connected, 0) < callers) {
    Atomics.wait(connected, 0, Atomics.load(connected, 0), 1_000);
  }
  return { answered };
}
