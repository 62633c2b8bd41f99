import { createServer } from "node:net";
import process from "node:process";

/**
 * First port, below the ephemeral ports of the system: no other process may
 * take or serve the port of a daemon that is down.
 */
const FIRST_PORT = 10_000;
/** Ports of a block; the last one is held to mark the block as taken. */
const PORTS_PER_BLOCK = 500;
const BLOCKS = 40;
const HOST = "127.0.0.1";

/** Number of ports of a block that its owner may use. */
export const USABLE_PORTS = PORTS_PER_BLOCK - 1;

let portBlock: Promise<number> | undefined;

/**
 * Returns the ports of an instance in the block that this process claims.
 *
 * @param index Index of the instance.
 * @param count Number of ports of each instance.
 * @returns The ports.
 */
export async function allocatePorts(
  index: number,
  count: number,
): Promise<number[]> {
  portBlock ??= claimPortBlock(process.pid);
  const first = await portBlock + index * count;
  return Array.from({ length: count }, (_, port) => first + port);
}

/**
 * Claims a block of ports that no other run on this machine uses, until this
 * process exits.
 *
 * @param preferred Number of the block that is tried first.
 * @returns The first port of the block.
 * @throws {Error} If all blocks are taken.
 */
export async function claimPortBlock(preferred: number): Promise<number> {
  for (let offset = 0; offset < BLOCKS; offset++) {
    const block = (preferred + offset) % BLOCKS;
    const firstPort = FIRST_PORT + block * PORTS_PER_BLOCK;
    if (await tryClaim(firstPort + USABLE_PORTS)) return firstPort;
  }
  throw new Error("Cannot claim a block of ports: all are taken");
}

/** Listens on a port until the process exits; `false` if the port is taken. */
function tryClaim(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, HOST, () => {
      server.unref();
      resolve(true);
    });
  });
}
