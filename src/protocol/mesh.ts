import type { EndReport } from "./end_evidence.ts";

/** Delivery guarantee of a route's requests. */
export enum RequestKind {
  /** A request may safely run more than once. */
  Idempotent = "idempotent",
  /** A request runs at most once for each attempt of its caller. */
  AtMostOnce = "at-most-once",
  /** Like {@linkcode RequestKind.AtMostOnce}, with a large body. */
  Upload = "upload",
}

/** A destination service of a route, with its share of the requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the requests, relative to the route's other weights. */
  readonly weight: number;
}

/** Route for the requests to one host under one path prefix. */
export interface MeshRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Several share the requests by weight; none if they could not be read. */
  readonly targets: readonly RouteTarget[];
  readonly kind: RequestKind;
  /** Longest time that a caller waits for a response. */
  readonly timeoutMs: number;
  /** Latency objective: a response within this time has its full value. */
  readonly objectiveMs: number;
  /** Rank of the requests; 0 is the most urgent. */
  readonly priority: number;
  /** Largest number of backend servers that one request is sent to. */
  readonly maxAttempts: number;
  /** Whether its requests need no key of an organisation. */
  readonly isPublic?: boolean;
}

/** An organisation whose callers identify themselves by a key. */
export interface MeshOrganisation {
  readonly name: string;
  readonly keys: readonly string[];
  /** Rank of its requests, before that of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Requests per second over all daemons together; 0 if unlimited. */
  readonly limitPerS: number;
  /** Requests beyond the limit per second in a burst. */
  readonly burst: number;
}

/** A service that is the target of routes. */
export interface MeshService {
  readonly name: string;
  readonly healthPath: string;
  /** Largest number of connections to one backend server. */
  readonly maxConnections: number;
}

/** Size and time limits on the requests of callers. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A part of a configuration that this version of the daemon cannot read. */
export interface ConfigGap {
  /** Name of the route or service; empty where it has none. */
  readonly subject: string;
  /** What was not read, and what holds in its place. */
  readonly reason: string;
}

/** One complete version of the mesh's configuration. */
export interface MeshConfig {
  readonly version: number;
  readonly gaps: readonly ConfigGap[];
  readonly routes: readonly MeshRoute[];
  readonly services: readonly MeshService[];
  readonly limits: RequestLimits;
  /** Absent if requests carry no keys. */
  readonly organisations?: readonly MeshOrganisation[];
}

/** Whether a backend server accepts requests. */
export enum BackendState {
  Ready = "ready",
  Draining = "draining",
}

/** Announcement of a backend server to its local daemon. */
export interface Announcement {
  /** Id of this process of the backend server. */
  readonly id: string;
  readonly service: string;
  /** Address at which the local daemon reaches the backend server. */
  readonly address: string;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  readonly state: BackendState;
  /** Increases with each announcement of one backend process. */
  readonly sequence: number;
  /** Start of the backend process, in Unix ms; 0 where not announced. */
  readonly bornAtUnixMs: number;
  /** Version of the service that it runs, if announced. */
  readonly version?: string;
  /** Time for which it still works slowly after its start, in ms. */
  readonly coldLeftMs?: number;
}

/** Record of a backend server that its local daemon publishes to the fleet. */
export interface BackendRecord {
  readonly id: string;
  /** Instance on which the backend server runs. */
  readonly instance: string;
  readonly service: string;
  readonly domain: string;
  /** Address at which its local daemon accepts requests of other daemons. */
  readonly peerAddress: string;
  readonly slots: number;
  readonly state: BackendState;
  readonly bornAtUnixMs: number;
  /** Bandwidth of the instance's link, in Mbit/s; 0 where unknown. */
  readonly linkMbps: number;
  /** Latest ends of backend processes on the instance, if any. */
  readonly ends?: readonly EndReport[] | undefined;
  /** Version of the service that it runs, if announced. */
  readonly version?: string | undefined;
  /** Until when it works slowly after its start, in Unix ms. */
  readonly warmAtUnixMs?: number | undefined;
  /**
   * Era of the store in which the lease of the record was granted; absent where
   * the store names none.
   */
  readonly leaseEra?: number | undefined;
}
