/** Settings of a sidecar daemon. */
export interface SidecarSettings {
  /** Name of the instance. */
  readonly instance: string;
  readonly domain: string;
  /** Service of the backend server on this instance. */
  readonly service: string;
  /** Address of the backend server on this instance. */
  readonly backendAddress: string;
  /** Address for callers and for the backend server's own calls. */
  readonly ingressAddress: string;
  /** Address at which it listens for other daemons. */
  readonly peerAddress: string;
  /** Address that others use, where it differs, as behind a port mapping. */
  readonly advertisedPeerAddress?: string;
  /** Address of the readiness check. */
  readonly readyAddress: string;
  /** Address at which the backend server announces itself. */
  readonly controlAddress: string;
  /** Address of the metrics, as text. */
  readonly metricsAddress: string;
  readonly storeAddress: string;
  /** Bandwidth of the instance's link, in Mbit/s; 0 where it is not known. */
  readonly linkMbps: number;
  /** Time from SIGTERM to the end of the process. */
  readonly graceMs: number;
  /** Repeats that each first request allows, fleet-wide. */
  readonly retryRatio: number;
  /** Repeats allowed in a window besides, fleet-wide. */
  readonly retrySlack: number;
  readonly retryWindowMs: number;
}
