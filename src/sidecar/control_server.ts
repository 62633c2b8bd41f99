import { createServer, type IncomingMessage, type Server } from "node:http";
import type { ControlDecoder } from "./ports.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { Announcement } from "../protocol/mesh.ts";
import { guardHandler } from "../transport/http/guard_handler.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import { readBody } from "../transport/http/read_body.ts";
import { refuseFurtherBytes } from "../transport/http/refuse_further_bytes.ts";
import { BodyRefusalLog } from "./body_refusal_log.ts";

/** Largest request body, in bytes. */
const MAX_BODY_BYTES = 16 * 1024;
/** Time within which a request body has to come, in ms. */
const BODY_TIMEOUT_MS = 5_000;

/** Receives the decoded calls. */
export interface ControlHandler {
  handleAnnouncement(announcement: Announcement): void;
  handleLeave(id: string, bornAtUnixMs: number): void;
  isReady(): boolean;
}

/** Options of {@linkcode createControlServer}. */
export interface ControlServerOptions {
  readonly decoder: ControlDecoder;
  readonly events: ControlHandler;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
}

/**
 * Creates a server for readiness checks and announcements.
 *
 * @param options Decoder and receiver of the calls.
 * @returns The server, which does not listen yet.
 *
 * @example
 * ```ts ignore
 * const server = createControlServer({ decoder, events, log });
 * ```
 */
export function createControlServer(options: ControlServerOptions): Server {
  const { log, metrics } = options;
  const refusals = new BodyRefusalLog({ server: "control", log, metrics });
  return createServer(
    { requestTimeout: 0 },
    guardHandler(async (request, response) => {
      const status = await handleRequest(request, options, refusals);
      if (!request.complete) refuseFurtherBytes(request, response);
      const body = status === 200 ? "{}" : "";
      response.writeHead(status, {
        "content-type": "application/json",
        "content-length": body.length,
      }).end(body);
    }, { server: "control", status: 400, log, metrics }),
  );
}

async function handleRequest(
  request: IncomingMessage,
  options: ControlServerOptions,
  refusals: BodyRefusalLog,
): Promise<number> {
  const { decoder, events, log } = options;
  const deadlineMs = performance.now() + BODY_TIMEOUT_MS;
  const read = await readBody(request, {
    maxBytes: MAX_BODY_BYTES,
    deadlineMs,
  });
  if (read.kind !== "whole") {
    if (read.kind !== "broken") refusals.record(request, "", read);
    return read.kind === "refused" ? 503 : 400;
  }
  const body = read.body?.toString() ?? "";
  read.release();
  const call = decoder.decode(
    request.method ?? "GET",
    request.url ?? "/",
    body,
  );
  switch (call.kind) {
    case "ready":
      return events.isReady() ? 200 : 503;
    case "announce":
      events.handleAnnouncement(call.announcement);
      return 200;
    case "leave":
      events.handleLeave(call.id, call.bornAtUnixMs);
      return 200;
    case "unreadable":
      log.warn("control-call-unreadable", {
        peer: request.socket.remoteAddress,
        reason: call.reason,
      });
      return 400;
  }
}
