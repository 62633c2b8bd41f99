import { createServer, type Server } from "node:http";
import express, { type Request, type Response } from "express";
import type { Membership } from "../coordination/membership/membership.ts";
import type { Balancer } from "../coordination/routing/balancer.ts";
import { MemberState } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import type { ConfigStore } from "../state/config_store.ts";
import type { DecisionLog } from "../state/decision_log.ts";
import { closeServer, listen } from "../transport/http/listen.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { parseAnnouncement } from "./announcement.ts";
import type { BackendTask } from "./backend_task.ts";
import { monotonicMs } from "./clocks.ts";
import { controlAddress } from "./control_address.ts";
import type { Destination } from "./destination.ts";

/** Largest announcement, in bytes. */
const MAX_ANNOUNCEMENT_BYTES = 4_096;

/** Options of an {@linkcode AdminServer}. */
export interface AdminServerOptions {
  readonly membership: Membership;
  readonly config: ConfigStore;
  readonly balancer: Balancer;
  readonly destination: Destination;
  readonly backend: BackendTask;
  readonly decisions: DecisionLog;
  readonly log: EventLog;
  readonly isReady: () => boolean;
  readonly statistics: () => Readonly<Record<string, number>>;
}

/**
 * Serves the operators' pages and accepts announcements of the backend server.
 *
 * @example
 * ```ts ignore
 * const server = new AdminServer(options);
 * await server.listen("127.0.0.1", 7004);
 * ```
 */
export class AdminServer {
  readonly #options: AdminServerOptions;
  readonly #server: Server;

  /**
   * Creates a server.
   *
   * @param options Sources of the pages, and receiver of announcements.
   */
  constructor(options: AdminServerOptions) {
    this.#options = options;
    this.#server = createServer(this.#routes());
  }

  /**
   * Starts to listen.
   *
   * @param host IP address.
   * @param port Port; 0 for any free one.
   * @returns The port in use.
   */
  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  /** Stops listening and closes all connections. */
  close(): Promise<void> {
    return closeServer(this.#server);
  }

  #routes(): express.Express {
    const app = express();
    app.disable("x-powered-by");
    app.disable("etag");
    app.get(
      "/live",
      (_request, response) => void response.json({ live: true }),
    );
    app.get("/ready", (_request, response) => {
      const isReady = this.#options.isReady();
      response.status(isReady ? 200 : 503).json({ ready: isReady });
    });
    app.get(
      "/version",
      (_request, response) => this.#respondWithVersion(response),
    );
    app.get(
      "/members",
      (_request, response) => this.#respondWithMembers(response),
    );
    app.get(
      "/routes",
      (_request, response) => this.#respondWithRoutes(response),
    );
    app.get("/statistics", (_request, response) => {
      response.json(this.#options.statistics());
    });
    app.get(
      "/requests/:id",
      (request, response) => this.#respondWithDecisions(request, response),
    );
    app.post(
      "/announce",
      express.text({ type: () => true, limit: MAX_ANNOUNCEMENT_BYTES }),
      (request, response) => this.#handleAnnouncement(request, response),
    );
    app.use((_request, response) => {
      response.status(404).json({ error: "no such page" });
    });
    app.use(respondWithError);
    return app;
  }

  #respondWithVersion(response: Response): void {
    const { config } = this.#options;
    response.json({
      version: config.version,
      digest: config.digest,
      adoptedAtMs: config.adoptedAtMs,
    });
  }

  #respondWithMembers(response: Response): void {
    const members = this.#options.membership.table.all().map((member) => ({
      id: member.id,
      instance: member.instance,
      domain: member.domain,
      state: MemberState[member.state].toLowerCase(),
      service: member.service,
      backendReady: member.backendReady,
      slots: member.slots,
      leasedSlots: member.leasedSlots,
      address: `${member.host}:${member.peerPort}`,
      controlAddress: controlAddress(member),
      incarnation: member.incarnation,
    }));
    response.json({ self: this.#options.membership.self.id, members });
  }

  #respondWithRoutes(response: Response): void {
    const { config, balancer } = this.#options;
    const nowMs = monotonicMs();
    const routes = (config.snapshot?.routes ?? []).map((route) => ({
      name: route.name,
      pathPrefix: route.pathPrefix,
      methods: route.methods === undefined ? undefined : [...route.methods],
      service: route.serviceName,
      rank: route.rank,
      approvedCallers: route.service.approvedCallers,
      backends: balancer.endpointsOf(route.serviceName).map((endpoint) => ({
        id: endpoint.member.id,
        domain: endpoint.member.domain,
        latencyMs: Math.round(endpoint.latencyMs * 100) / 100,
        running: endpoint.running,
        isEjected: endpoint.isEjected(nowMs),
        cost: endpoint.cost(route.service.slowStartMs, nowMs),
      })),
    }));
    response.json({ version: config.version, routes });
  }

  #respondWithDecisions(request: Request, response: Response): void {
    const id = String(request.params.id);
    const decisions = this.#options.decisions.get(id);
    response.status(decisions.length === 0 ? 404 : 200)
      .json({ request: id, decisions });
  }

  #handleAnnouncement(request: Request, response: Response): void {
    const parsed = parseAnnouncement(String(request.body ?? ""), {
      remoteAddress: request.socket.remoteAddress ?? "",
      localAddress: this.#options.membership.self.host,
    });
    if (parsed.isErr()) {
      this.#options.log.warn("announcement-refused", {
        error: parsed.error.message,
      });
      response.status(400).json({ error: parsed.error.message });
      return;
    }
    this.#options.backend.announce(parsed.value);
    response.json({ active: this.#options.destination.active });
  }
}

function respondWithError(
  error: Error & { status?: number },
  _request: Request,
  response: Response,
  _next: () => void,
): void {
  response.status(error.status ?? 500).json({ error: error.message });
}
