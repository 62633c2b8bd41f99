import process from "node:process";
import { parseSettings } from "../protocol/settings_schema.ts";
import { SourceDocument } from "../protocol/source_document.ts";
import { Daemon } from "./daemon.ts";

/** Exit code of a daemon that stopped on request. */
const EXIT_STOPPED = 0;

/**
 * Runs a daemon until SIGTERM or SIGINT, which stop it gracefully.
 *
 * @param settingsFile Path of the settings file.
 * @returns The exit code.
 * @throws {StepError} If the settings are not valid or a port is in use.
 *
 * @example
 * ```ts ignore
 * process.exitCode = await runDaemon("daemon.jsonc");
 * ```
 */
export async function runDaemon(settingsFile: string): Promise<number> {
  const settings = parseSettings(SourceDocument.read(settingsFile));
  const daemon = new Daemon(settings);
  const stopRequested = new Promise<void>((resolve) => {
    process.once("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
  await daemon.start();
  await stopRequested;
  await daemon.stop();
  return EXIT_STOPPED;
}
