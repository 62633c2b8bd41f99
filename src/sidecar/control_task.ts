import { createServer, type IncomingMessage, type Server } from "node:http";
import type { ControlDecoder } from "./ports.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { Announcement } from "../protocol/mesh.ts";
import { readBody } from "./read_body.ts";

/** Largest call that is read, in bytes. */
const MAX_CALL_BYTES = 16 * 1024;

/** Receives the calls, once decoded. */
export interface ControlEvents {
  announced(announcement: Announcement): void;
  left(id: string, bornAtUnixMs: number): void;
  isReady(): boolean;
}

/** What the control ports need. */
export interface ControlOptions {
  readonly dialect: ControlDecoder;
  readonly events: ControlEvents;
  readonly log: EventLog;
}

/**
 * Creates a server for readiness checks and announcements.
 *
 * @param options How calls are decoded, and who receives them.
 * @returns The server, which does not listen yet.
 *
 * @example
 * ```ts ignore
 * const server = createControlServer({ dialect, events, log });
 * ```
 */
export function createControlServer(options: ControlOptions): Server {
  return createServer({ requestTimeout: 0 }, (request, response) => {
    void handle(request, options).then((status) => {
      const body = status === 200 ? "{}" : "";
      response.writeHead(status, {
        "content-type": "application/json",
        "content-length": body.length,
      }).end(body);
    });
  });
}

async function handle(
  request: IncomingMessage,
  options: ControlOptions,
): Promise<number> {
  const { dialect, events, log } = options;
  const read = await readBody(request, MAX_CALL_BYTES);
  if (read.kind !== "whole") return 400;
  const body = read.body?.toString() ?? "";
  const call = dialect.decode(
    request.method ?? "GET",
    request.url ?? "/",
    body,
  );
  switch (call.kind) {
    case "ready":
      return events.isReady() ? 200 : 503;
    case "announce":
      events.announced(call.announcement);
      return 200;
    case "leave":
      events.left(call.id, call.bornAtUnixMs);
      return 200;
    case "unreadable":
      log.warn("control-call-unreadable", {
        peer: request.socket.remoteAddress,
        reason: call.reason,
      });
      return 400;
  }
}
