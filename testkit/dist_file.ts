import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const DIST = join(dirname(fileURLToPath(import.meta.url)), "..");

/**
 * Returns the path of a compiled program.
 *
 * @param name Path below the folder of compiled files.
 * @returns The whole path.
 */
export function distFile(name: string): string {
  return join(DIST, name);
}
