import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setImmediate as nextIteration } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "../observe/event_log.ts";
import { TextMetrics } from "../observe/text_metrics.ts";
import { guardHandler } from "./guard_handler.ts";

const HANDLERS: Readonly<
  Record<string, (request: IncomingMessage, response: ServerResponse) => void>
> = {
  "/thrown": () => {
    throw new RangeError("no stack left");
  },
  "/after-head": (_request, response) => {
    response.writeHead(200, { "content-length": 9 }).write("part");
    throw new RangeError("no stack left");
  },
  "/sound": (_request, response) => void response.end("sound"),
};

// Guards against an unhandled rejection, which ends the process: the handlers
// of the servers were started without anybody to take their failures.
test("guardHandler() answers or closes where a handler fails", async () => {
  const lines: string[] = [];
  const log = new EventLog({
    sink: { write: (text) => lines.push(text), close: () => {} },
  });
  const metrics = new TextMetrics();
  const server = createServer(guardHandler(async (request, response) => {
    await nextIteration();
    HANDLERS[request.url!]!(request, response);
  }, { server: "test", status: 400, log, metrics }));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const replies: Record<string, string> = {};
  for (const path of Object.keys(HANDLERS)) {
    replies[path] = await fetch(`http://127.0.0.1:${port}${path}`)
      .then(async (response) => `${response.status} ${await response.text()}`)
      .catch(() => "closed");
  }
  server.close();
  server.closeAllConnections();
  log.flush();
  assert.equal({
    replies,
    failures: metrics.totals().get("handler_failures_total"),
    logged: lines.join("").split("event=handler-failed").length - 1,
  }, {
    replies: {
      "/thrown": "400 ",
      "/after-head": "closed",
      "/sound": "200 sound",
    },
    failures: 2,
    logged: 2,
  });
});

test.run();
