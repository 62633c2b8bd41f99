/** How often a request of a route may run. */
export enum RequestKind {
  /** Running more than once does no harm. */
  Idempotent = "idempotent",
  /** Runs at most once for each attempt of a caller. */
  AtMostOnce = "at-most-once",
  /** A large body, handled like {@linkcode RequestKind.AtMostOnce}. */
  Upload = "upload",
}

/** One destination service of a route, with its share of the requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host under one path prefix. */
export interface MeshRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** One target, or several that share the requests by weight. */
  readonly targets: readonly RouteTarget[];
  readonly kind: RequestKind;
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Time within which an answer has its full use. */
  readonly objectiveMs: number;
  /** Rank of the requests; 0 is the most urgent. */
  readonly priority: number;
  /** Most backend servers that one request may be sent to. */
  readonly maxAttempts: number;
}

/** A service that routes lead to. */
export interface MeshService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one backend server accepts. */
  readonly maxConnections: number;
}

/** What a caller may send, and how long it may take. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the mesh's configuration, whole. */
export interface MeshConfig {
  readonly version: number;
  readonly routes: readonly MeshRoute[];
  readonly services: readonly MeshService[];
  readonly limits: RequestLimits;
}

/** What a backend server says about taking work. */
export enum BackendState {
  Ready = "ready",
  Draining = "draining",
  /** It runs on, but the daemon beside it stops. */
  DaemonStopping = "away",
}

/** What a backend server announces to the daemon beside it. */
export interface Announcement {
  /** Id of this life of the backend server. */
  readonly id: string;
  readonly service: string;
  /** Address at which the daemon beside it reaches it. */
  readonly address: string;
  readonly slots: number;
  readonly state: BackendState;
  /** Rises with each announcement of one life. */
  readonly sequence: number;
  /** Wall clock of its start, in Unix ms; 0 where it was not said. */
  readonly bornAtUnixMs: number;
}

/** A backend server as the daemon beside it publishes it to the others. */
export interface BackendRecord {
  readonly id: string;
  /** Instance on which it runs. */
  readonly instance: string;
  readonly service: string;
  readonly domain: string;
  /** Address at which the daemon beside it takes requests of other daemons. */
  readonly peerAddress: string;
  readonly slots: number;
  readonly state: BackendState;
  readonly bornAtUnixMs: number;
  /** Bandwidth of the instance's link, in Mbit/s; 0 where it is not known. */
  readonly linkMbps: number;
}
