import type { Server } from "node:http";
import { listen } from "../transport/http/listen.ts";

/** Pause between two checks for the end of the shutdown, in ms. */
const END_CHECK_MS = 50;

/**
 * Waits until a condition holds, which is polled.
 *
 * @param isMet Returns whether it holds at a monotonic time in ms.
 * @returns A promise that resolves then.
 *
 * @example
 * ```ts
 * await waitUntil(() => true);
 * ```
 */
export function waitUntil(isMet: (nowMs: number) => boolean): Promise<void> {
  return new Promise((resolve) => {
    if (isMet(performance.now())) return resolve();
    const timer = setInterval(() => {
      if (!isMet(performance.now())) return;
      clearInterval(timer);
      resolve();
    }, END_CHECK_MS);
  });
}

/**
 * Opens a server's port.
 *
 * @param server The server.
 * @param address IP address and port.
 *
 * @example
 * ```ts ignore
 * await listenAt(server, "127.0.0.1:8080");
 * ```
 */
export async function listenAt(server: Server, address: string): Promise<void> {
  const separatorAt = address.lastIndexOf(":");
  await listen(
    server,
    address.slice(0, separatorAt),
    Number(address.slice(separatorAt + 1)),
  );
}
