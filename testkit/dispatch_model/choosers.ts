import {
  chooseDestination,
  costKeyOf,
  DestinationStats,
  DomainLoad,
  effectiveDeadlineMs,
  type RequestCostKey,
  RequestCosts,
  ResponseSizes,
} from "../../src/coordination/dispatch/mod.ts";
import type { RequestSpec } from "./loads.ts";
import type { Random } from "../../src/protocol/random.ts";
import {
  BYTES_PER_ANSWER,
  type Chooser,
  type ChooserFactory,
  type ModelRequest,
  type ModelServer,
} from "./model.ts";

/** Shortest time behind other requests from which a queue exists, in ms. */
const MIN_QUEUE_MS = 5;

/** Chooses any server. */
export const chooseRandom: ChooserFactory = ({ servers }, _domain, random) => ({
  choose: (_request, excluded) => {
    const left = servers.filter(({ record }) => !excluded.has(record.id));
    return servers.indexOf(random.pick(left)!);
  },
  recordSend: () => {},
  recordEnd: () => {},
});

/** Chooses the one of two servers with fewer requests of the daemon. */
export const chooseLeastOfTwo: ChooserFactory = (
  { servers },
  _domain,
  random,
) => {
  const open = servers.map(() => 0);
  return {
    choose: (_request, excluded) => {
      const left = servers.filter(({ record }) => !excluded.has(record.id));
      const [first, second] = random.sample(left, 2)
        .map((server) => servers.indexOf(server));
      if (second === undefined) return first;
      return open[first!]! <= open[second]! ? first : second;
    },
    recordSend: (_request, server) => open[server]!++,
    recordEnd: (_request, server) => open[server]!--,
  };
};

/** Knows the true cost of each request and the state of all servers. */
export const chooseByOracle: ChooserFactory = ({ servers, load }, domain) => ({
  choose: (request, excluded, nowMs) => {
    let best: number | undefined;
    let bestScore = -Infinity;
    const slackMs = request.objectiveAtMs - nowMs;
    for (const [index, server] of servers.entries()) {
      const { record } = server;
      if (excluded.has(record.id)) continue;
      const endMs = server.trueEndMs(request.workMs, nowMs) +
        2 * load.hopMs;
      const bytes = record.domain === domain ? 0 : request.spec.responseBytes;
      const score = (endMs <= request.objectiveAtMs ? 1 : 0) -
        bytes / BYTES_PER_ANSWER - 0.1 * (endMs - nowMs) / slackMs;
      if (score <= bestScore) continue;
      best = index;
      bestScore = score;
    }
    return best;
  },
  recordSend: () => {},
  recordEnd: () => {},
});

/** The choice of the daemons. */
export const chooseAsDaemon: ChooserFactory = ({ servers }, domain, random) =>
  new DaemonChooser(servers, domain, random);

class DaemonChooser implements Chooser {
  readonly #records;
  readonly #indices;
  readonly #domain: string;
  readonly #random: Random;
  readonly #costs = new RequestCosts();
  readonly #sizes = new ResponseSizes();
  readonly #stats;

  constructor(
    servers: readonly ModelServer[],
    domain: string,
    random: Random,
  ) {
    this.#records = servers.map(({ record }) => record);
    this.#indices = new Map(servers.map(({ record }, at) => [record.id, at]));
    const loads = new Map(
      servers.map(({ record }) => [record.domain, new DomainLoad()]),
    );
    this.#stats = servers.map(({ record }) =>
      new DestinationStats(this.#costs, loads.get(record.domain))
    );
    this.#domain = domain;
    this.#random = random;
  }

  choose(
    ...[request, excluded, nowMs]: Parameters<Chooser["choose"]>
  ): number | undefined {
    const { spec, objectiveAtMs } = request;
    const choice = chooseDestination(this.#records, {
      costKey: keyOf(request),
      costs: this.#costs,
      bodyBytes: 0,
      responseBytes: this.#sizes.expectedBytes(spec.route),
      objectiveAtMs,
      deadlineMs: request.deadlineMs,
      localDomain: this.#domain,
      nowMs,
      excluded,
      statsOf: ({ id }) => this.#stats[this.#indices.get(id)!]!,
      random: this.#random,
    });
    if (choice === undefined) return undefined;
    const endMs = nowMs + choice.waitMs + choice.serviceMs;
    const latestMs = choice.queueMs >= MIN_QUEUE_MS
      ? effectiveDeadlineMs(request, choice.isShort)
      : request.deadlineMs;
    return endMs <= latestMs ? this.#indices.get(choice.record.id) : undefined;
  }

  recordSend(...[{ spec }, server]: Parameters<Chooser["recordSend"]>): void {
    this.#stats[server]!.recordSend(spec.route);
  }

  recordEnd(
    ...[request, server, outcome, load, nowMs]: Parameters<Chooser["recordEnd"]>
  ): void {
    const { spec } = request;
    const stats = this.#stats[server]!;
    stats.recordLoad(spec.route, load, nowMs);
    stats.recordOutcome(keyOf(request), outcome, nowMs);
    if (outcome.kind === "answered") {
      this.#sizes.record(spec.route, spec.responseBytes);
    }
  }
}

const KEYS = new Map<RequestSpec, RequestCostKey>();

function keyOf({ spec }: ModelRequest): RequestCostKey {
  const known = KEYS.get(spec);
  if (known !== undefined) return known;
  const key = costKeyOf({ ...spec, method: "GET", body: undefined });
  KEYS.set(spec, key);
  return key;
}
