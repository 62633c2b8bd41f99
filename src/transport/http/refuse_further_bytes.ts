import type { IncomingMessage, ServerResponse } from "node:http";
import type { Buffer } from "node:buffer";
import { isFragmented } from "./body_pieces.ts";
import { MAX_SHORT_BODY_BYTES } from "./held_bytes.ts";

/**
 * Time for which bytes are read and dropped after a refusal, in ms. A reset
 * while they still come may destroy the response before the sender reads it.
 */
const GRACE_MS = 500;
const REFUSED = new WeakSet<IncomingMessage>();

/**
 * Makes a response the last one of its connection, which is closed at the end
 * of a grace period after the response, however much the sender still sends.
 *
 * @param request The request whose body is refused.
 * @param response Its response, which is not written yet.
 *
 * @example
 * ```ts ignore
 * refuseFurtherBytes(request, response);
 * response.writeHead(413).end();
 * ```
 */
export function refuseFurtherBytes(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.shouldKeepAlive = false;
  if (request.complete || REFUSED.has(request)) return;
  REFUSED.add(request);
  const { socket } = request;
  const close = () => socket.destroy();
  const dropped = { pieces: 0, bytes: 0 };
  request.on("data", (chunk: Buffer) => {
    dropped.pieces++;
    dropped.bytes += chunk.length;
    // Reading such a body takes the processor time of other requests.
    if (isFragmented(dropped.pieces, dropped.bytes)) close();
  });
  // The HTTP server calls it after the last response of a connection.
  socket.destroySoon = () => {
    socket.end();
    if (request.complete) return close();
    const timer = setTimeout(close, GRACE_MS);
    socket.once("close", () => clearTimeout(timer));
    request.once("end", close);
  };
}

/**
 * Does the same where a body is so long that reading all of it would cost more
 * than a new connection; other bodies are read and dropped.
 *
 * @param request The request, whose body nobody reads.
 * @param response Its response, which is not written yet.
 *
 * @example
 * ```ts ignore
 * refuseLongBody(request, response);
 * response.writeHead(404).end();
 * ```
 */
export function refuseLongBody(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const { "content-length": length, "transfer-encoding": coding } =
    request.headers;
  const isLong = coding !== undefined || Number(length) > MAX_SHORT_BODY_BYTES;
  if (isLong) refuseFurtherBytes(request, response);
}
