import { messageOf } from "../protocol/step_error.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { SidecarSettings } from "./sidecar_settings.ts";

/**
 * Reads the settings again and logs the names of those that changed.
 *
 * @param current The settings in force.
 * @param read Reads and checks the settings; throws if they are invalid.
 * @param log The log.
 *
 * @example
 * ```ts ignore
 * logReload(settings, read, log);
 * ```
 */
export function logReload(
  current: SidecarSettings,
  read: () => SidecarSettings,
  log: EventLog,
): void {
  try {
    const next = read();
    const names = Object.keys(next) as (keyof SidecarSettings)[];
    const changed = names.filter((name) => next[name] !== current[name]);
    log.info("settings-reloaded", { needsRestart: changed.join(",") });
  } catch (error) {
    log.error("settings-refused", { reason: messageOf(error) });
  }
}
