import type { Random } from "../../src/protocol/random.ts";

/** One kind of request of a load. */
export interface RequestSpec {
  readonly route: string;
  readonly path: string;
  /** Requests per second over all daemons. */
  readonly perS: number;
  /** Draws the work of a request at the usual pace, in ms. */
  readonly drawMs: (random: Random) => number;
  readonly objectiveMs: number;
  readonly timeoutMs: number;
  readonly responseBytes: number;
  readonly priority: number;
}

/** Backend servers, ingress daemons and arrivals of one trial. */
export interface Load {
  readonly name: string;
  readonly daemons: number;
  readonly servers: number;
  readonly slots: number;
  /** Relative service times, assigned to the servers in turn. */
  readonly speeds: readonly number[];
  readonly requests: readonly RequestSpec[];
  /** Time on the network between two instances, one way, in ms. */
  readonly hopMs: number;
  readonly durationMs: number;
  /** How long work takes, relative to usual, in a period of `paceMs`. */
  readonly drawPace?: (random: Random) => number;
  /** Length of a period of constant pace, in ms. */
  readonly paceMs?: number;
  /** Relative deviation of each domain's demand over `swingMs`. */
  readonly swing?: number;
  readonly swingMs?: number;
  /** Arrivals come at multiples of this time, in ms. */
  readonly burstMs?: number;
}

const READ: RequestSpec = {
  route: "read",
  path: "/read/1",
  perS: 840,
  drawMs: () => 100,
  objectiveMs: 300,
  timeoutMs: 900,
  responseBytes: 5_000,
  priority: 0,
};

const GENERIC: Load = {
  name: "uniform cost",
  daemons: 30,
  servers: 30,
  slots: 4,
  speeds: [1],
  requests: [READ],
  hopMs: 0.5,
  durationMs: 12_000,
};

function heavyTail(usualMs: number, share: number, factor: number) {
  return (random: Random) =>
    random.fraction() < share ? usualMs * factor : usualMs;
}

const SENSORS: Load = {
  name: "sensors",
  daemons: 63,
  servers: 49,
  slots: 4,
  speeds: [0.55, 1.2, 1.2, 1.2],
  requests: [
    {
      ...READ,
      route: "readings",
      path: "/readings/1",
      perS: 673,
      drawMs: heavyTail(81, 0.03, 7),
      objectiveMs: 430,
      timeoutMs: 1_200,
      priority: 1,
    },
    {
      ...READ,
      route: "alerts",
      path: "/alerts/1",
      perS: 269,
      drawMs: () => 114,
      objectiveMs: 528,
      timeoutMs: 1_500,
    },
  ],
  hopMs: 0.5,
  durationMs: 19_000,
  paceMs: 600,
  drawPace: heavyTail(1, 0.15, 2.5),
  swing: 0.55,
  swingMs: 15_000,
};

/** Loads of section 8 of the requirements, and of two deployments. */
export const LOADS: readonly Load[] = [
  GENERIC,
  {
    ...GENERIC,
    name: "heavy tail",
    durationMs: 24_000,
    requests: [{
      ...READ,
      perS: 1_250,
      drawMs: heavyTail(50, 1 / 50, 20),
    }],
  },
  {
    ...GENERIC,
    name: "two kinds, one route",
    requests: [
      { ...READ, path: "/read/light/1", perS: 840, drawMs: () => 30 },
      { ...READ, path: "/read/heavy/1", perS: 280, drawMs: () => 210 },
    ],
  },
  { ...GENERIC, name: "uneven servers", speeds: [0.55, 1.2, 1.2, 1.2] },
  {
    ...GENERIC,
    name: "changing pace",
    requests: [{ ...READ, perS: 680 }],
    paceMs: 100,
    drawPace: heavyTail(1, 0.15, 2.5),
  },
  { ...GENERIC, name: "simultaneous", daemons: 100, burstMs: 40 },
  SENSORS,
  {
    ...SENSORS,
    name: "sensors, 1.7 times",
    requests: SENSORS.requests.map((one) => ({ ...one, perS: one.perS * 1.7 })),
  },
  {
    name: "small deployment",
    daemons: 15,
    servers: 5,
    slots: 18,
    speeds: [1],
    requests: [{
      ...READ,
      route: "lookup",
      path: "/lookup/1",
      perS: 295,
      drawMs: () => 160,
      objectiveMs: 500,
      timeoutMs: 1_300,
    }],
    hopMs: 0.9,
    durationMs: 30_000,
  },
];
