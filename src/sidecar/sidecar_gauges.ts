import type { BackendDirectory } from "../state/backend_directory.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import { PROCESS_BYTES } from "../transport/http/held_bytes.ts";
import type { EventLoopMonitor } from "../transport/observe/event_loop_monitor.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import type { BackendDispatcher } from "./backend_dispatcher.ts";
import type { IngressServer } from "./ingress_server.ts";
import type { StoreSyncTask } from "./store_sync_task.ts";

/** The parts of a daemon that the gauges show. */
export interface GaugeSources {
  readonly routes: RouteTableHolder;
  readonly directory: BackendDirectory;
  readonly sync: StoreSyncTask;
  readonly ingress: IngressServer;
  readonly dispatcher: BackendDispatcher;
  readonly eventLoop: EventLoopMonitor;
}

/**
 * Registers the gauges of a daemon.
 *
 * @param metrics Metrics of the daemon.
 * @param sources Its parts.
 *
 * @example
 * ```ts ignore
 * registerGauges(metrics, sources);
 * ```
 */
export function registerGauges(
  metrics: TextMetrics,
  sources: GaugeSources,
): void {
  const { routes, directory, sync, ingress, dispatcher, eventLoop } = sources;
  metrics.gauge("config_version", () => routes.version);
  metrics.gauge(
    "config_age_ms",
    () => Math.round(sync.configAgeMs()),
  );
  metrics.gauge(
    "config_gaps",
    () => routes.current?.config.gaps.length ?? 0,
  );
  metrics.gauge("backends_known", () => directory.size);
  metrics.gauge("requests_open", () => ingress.openRequests);
  metrics.gauge("held_bytes", () => PROCESS_BYTES.bytes);
  metrics.gauge(
    "destination_requests",
    () => dispatcher.openRequests,
  );
  metrics.gauge(
    "event_loop_delay_p99_ms",
    () => eventLoop.delayP99Ms,
  );
}
