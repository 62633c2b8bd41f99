/** Settings of a sidecar daemon. */
export interface SidecarSettings {
  /** Name of the instance. */
  readonly instance: string;
  readonly domain: string;
  /** Service of the backend server on this instance. */
  readonly service: string;
  /** Address of the backend server on this instance. */
  readonly backendAddress: string;
  /** Address for requests of callers and of the local backend server. */
  readonly ingressAddress: string;
  /** Address on which it listens for other daemons. */
  readonly peerAddress: string;
  /** Address for other daemons if it differs, such as behind a port mapping. */
  readonly advertisedPeerAddress?: string;
  /** Address of the readiness check. */
  readonly readyAddress: string;
  /** Address for the announcements of the backend server. */
  readonly controlAddress: string;
  /** Address of the text metrics. */
  readonly metricsAddress: string;
  readonly storeAddress: string;
  /** Bandwidth of the instance's link, in Mbit/s; 0 if unknown. */
  readonly linkMbps: number;
  /** Time from SIGTERM to the end of the process, in ms. */
  readonly graceMs: number;
  /** Retries allowed per first request, fleet-wide. */
  readonly retryRatio: number;
  /** Additional retries allowed in a window, fleet-wide. */
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  /** Length of the windows in which quotas hold, in ms. @default {5_000} */
  readonly quotaWindowMs?: number;
  /** Share of a window's quota that may run beyond it. @default {0.1} */
  readonly quotaOver?: number;
  /** Requests that may run beyond it in a window. @default {20} */
  readonly quotaSlack?: number;
  /** Whether operators move services from one version to another by order. */
  readonly hasRollouts?: boolean;
  /** Memory of the instance, in MB; unknown if absent or 0. */
  readonly memoryMb?: number;
}
