import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/**
 * Finds ports that are free on an address.
 *
 * @param count Number of ports.
 * @param host Loopback address.
 * @returns The ports, none of which is reserved any more.
 */
export async function findFreePorts(
  count: number,
  host: string,
): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, () => listenOnFreePort(host)),
  );
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map((server) =>
      new Promise<void>((resolve) => server.close(() => resolve()))
    ),
  );
  return ports;
}

function listenOnFreePort(
  host: string,
): Promise<ReturnType<typeof createServer>> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, host, () => resolve(server));
  });
}
