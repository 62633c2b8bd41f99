import type { IncomingMessage, ServerResponse } from "node:http";
import type { Buffer } from "node:buffer";
import { isFragmented } from "./body_pieces.ts";

/**
 * Time for which bytes are read and dropped after a refusal, in ms. A reset
 * while they still come may destroy the response before the sender reads it.
 */
const GRACE_MS = 500;

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
  if (request.complete) return;
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
