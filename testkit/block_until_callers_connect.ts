import { Worker } from "node:worker_threads";

/** Connects callers from another thread and tells how many were answered. */
const PROGRAM = `
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
 * Stands still until callers wait at a port of this process.
 *
 * @param port The port, at the loopback address.
 * @param callers How many callers connect and send a request each.
 * @param head The request's head, without its end.
 * @returns How many got an answer, once all connections are closed.
 */
export function blockUntilCallersConnect(
  port: number,
  callers: number,
  head: string,
): { readonly answered: Promise<number> } {
  const connected = new Int32Array(new SharedArrayBuffer(4));
  const worker = new Worker(PROGRAM, {
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
