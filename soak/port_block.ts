import { createServer } from "node:net";

/**
 * Ports below those that the system hands out: a daemon that is down must find
 * its port free, and nobody else may answer there.
 */
const FIRST_PORT = 10_000;
/** Ports of a block; the last says that the block is taken. */
const PORTS_PER_BLOCK = 500;
const BLOCKS = 40;
const HOST = "127.0.0.1";

/** Ports of a block that its owner may use. */
export const USABLE_PORTS = PORTS_PER_BLOCK - 1;

/**
 * Takes a block of ports that no other run on this machine has, until this
 * process ends.
 *
 * @param preferred Number of the block that is tried first.
 * @returns The first port of the block.
 * @throws {Error} If all blocks are taken.
 */
export async function claimPortBlock(preferred: number): Promise<number> {
  for (let offset = 0; offset < BLOCKS; offset++) {
    const block = (preferred + offset) % BLOCKS;
    const firstPort = FIRST_PORT + block * PORTS_PER_BLOCK;
    if (await isClaimed(firstPort + USABLE_PORTS)) return firstPort;
  }
  throw new Error("Cannot claim a block of ports: all are taken");
}

/** Holds a port until the process ends; `false` where another one holds it. */
function isClaimed(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, HOST, () => {
      server.unref();
      resolve(true);
    });
  });
}
