import { Buffer } from "node:buffer";
import { Pool } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EDGE_HEADERS } from "../../platform/edge_headers.ts";
import { RequestKind } from "../../src/protocol/mesh.ts";
import { Exchange } from "../../src/transport/http/exchange.ts";
import { strictConnector } from "../../src/transport/http/strict_connector.ts";
import { type RawAnswer, RawServer } from "../../testkit/raw_server.ts";
import { createCall, createDispatcher } from "./local_dispatcher.ts";

const TIMEOUT_MS = 2_000;
const UPLOAD = Buffer.alloc(8 * 1024 * 1024, "x");
const STATUSES = ["000", "099", "200", "599", "600", "700", "999", "1200"];
const FIELDS = `${EDGE_HEADERS.requestId}: r1\r\n` +
  `${EDGE_HEADERS.answerProof}: stamp\r\n`;

/** Sends a request to a server, and returns what became of it. */
type Client = (address: string, body?: Buffer) => Promise<string>;

const CLIENTS: Readonly<Record<string, Client>> = {
  sidecar: async (address, body) => {
    const call = createCall("r1", {
      kind: RequestKind.AtMostOnce,
      timeoutMs: TIMEOUT_MS,
    });
    const outcome = await createDispatcher(address).execute(
      { ...call, body },
      AbortSignal.timeout(TIMEOUT_MS),
    );
    return outcome.kind;
  },
  daemon: async (address, body) => {
    const connect = strictConnector({});
    const pool = new Pool(`http://${address}`, { connect });
    const result = await new Promise<string>((resolve) =>
      Exchange.send(pool, {
        method: "POST",
        path: "/",
        headers: [],
        body: body === undefined
          ? { kind: "none" }
          : { kind: "buffered", bytes: body },
      }, {
        onHead: () => {},
        onData: () => true,
        onEnd: () => resolve("answered"),
        onError: () => resolve("unknown"),
      })
    );
    await pool.destroy();
    return result;
  },
};

async function send(
  client: Client,
  answer: RawAnswer,
  body?: Buffer,
): Promise<string> {
  const server = await RawServer.start(() => answer);
  try {
    return await client(server.address, body);
  } finally {
    server.stop();
  }
}

for (const [name, client] of Object.entries(CLIENTS)) {
  // Guards against status 700 of a backend server, which reached the caller.
  test(`${name}: only a status of 100 to 599 is an answer`, async () => {
    const results: string[] = [];
    for (const status of STATUSES) {
      const text = `HTTP/1.1 ${status} Status\r\n${FIELDS}` +
        "content-length: 4\r\n\r\nbody";
      results.push(
        `${status} ${await send(client, { text, isReset: false })}`,
      );
    }
    assert.equal(results, [
      "000 unknown",
      "099 unknown",
      "200 answered",
      "599 answered",
      "600 unknown",
      "700 unknown",
      "999 unknown",
      "1200 unknown",
    ]);
  });

  // Guards against a response without a length that ends with a reset and is
  // taken for a whole one, while the request's body is still being sent.
  test(`${name}: an early answer that is reset during the upload is none`, async () => {
    const framings = [
      "\r\npart",
      "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
      "content-length: 9\r\n\r\npart",
    ];
    const results: string[] = [];
    for (const framing of framings) {
      const text = `HTTP/1.1 200 OK\r\n${FIELDS}${framing}`;
      results.push(await send(client, { text, isReset: true }, UPLOAD));
      results.push(await send(client, { text, isReset: true }));
    }
    assert.equal(results, Array.from({ length: 6 }, () => "unknown"));
  });
}

test.run();
