import { setTimeout as sleep } from "node:timers/promises";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { HEADER_CALL } from "../../src/protocol/peer_call.ts";
import { isServed, openConnection, testDaemons } from "./daemon_processes.ts";

const SENDERS = 5;
/** Time that the senders of the unfinished requests wait, in ms. */
const TIMEOUT_MS = 400;
/** Time after it by which the requests must have been given up, in ms. */
const GIVE_UP_MS = 1_500;

/** A request of which only a part of the body comes. */
function formatUnfinished(id: string, headers: string): string {
  return `POST /stock/1 HTTP/1.1\r\nhost: shop.example\r\n${headers}\r\n` +
    `x-attempt-id: ${id}\r\ncontent-length: 100\r\n\r\npart`;
}

// The class of review 1: a sender that went silent within a body kept its
// request, and the bytes that had come, for ever.
testDaemons(
  "a request whose body never comes is given up at its deadline",
  1,
  async ([daemon]) => {
    const { ingressPort, peerPort } = daemon!;
    const description =
      `odd;stock;i;0;stock;stock;i-0-1;${TIMEOUT_MS};${TIMEOUT_MS};1`;
    const answers: string[] = [];
    for (let index = 0; index < SENDERS; index++) {
      for (
        const [port, headers] of [
          [ingressPort, `x-deadline-ms: ${TIMEOUT_MS}`],
          [peerPort, `${HEADER_CALL}: ${description}`],
        ] as const
      ) {
        const socket = await openConnection(port);
        let answer = "";
        socket.on("data", (chunk) => answer += chunk);
        socket.once("close", () => answers.push(answer.slice(0, 12)));
        socket.write(formatUnfinished(`unfinished-${index}`, headers));
      }
    }
    await sleep(TIMEOUT_MS + GIVE_UP_MS);
    const metrics = await fetch(`http://127.0.0.1:${daemon!.metricsPort}/`)
      .then((response) => response.text());
    const open = /^sesamepond_requests_open (\d+)$/m.exec(metrics)?.[1];
    assert.equal({
      answers: answers.sort(),
      open,
      isServed: await isServed(daemon!, "last"),
    }, {
      answers: [
        ...Array.from({ length: SENDERS }, () => "HTTP/1.1 408"),
        ...Array.from({ length: SENDERS }, () => "HTTP/1.1 503"),
      ],
      open: "0",
      isServed: true,
    });
  },
);

test.run();
