import { test } from "uvu";
import * as assert from "uvu/assert";
import { type MeshConfig, RequestKind } from "../protocol/mesh.ts";
import { RouteTableHolder } from "../state/route_table_holder.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { TextMetrics } from "../transport/observe/text_metrics.ts";
import { RequestAuthorizer } from "./request_authorizer.ts";

const ROUTE = {
  name: "orders",
  host: "a.example",
  prefix: "/orders/",
  targets: [{ service: "orders", weight: 1 }],
  kind: RequestKind.AtMostOnce,
  timeoutMs: 1_000,
  objectiveMs: 500,
  priority: 0,
  maxAttempts: 1,
};

function config(version: number, keys: readonly string[]): MeshConfig {
  return {
    version,
    routes: [ROUTE, {
      ...ROUTE,
      name: "stock",
      prefix: "/stock/",
      isPublic: true,
    }],
    services: [],
    gaps: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    organisations: [
      { name: "pub", keys, priority: 1, limitPerS: 0, burst: 0 },
    ],
  };
}

/** Authorizes requests by a configuration of some age. */
async function authorizeAll(options: {
  readonly ageMs: number;
  readonly isConfirmed?: boolean;
  /** Keys of the version that a read of the store finds. */
  readonly newerKeys?: readonly string[];
}) {
  const routes = new RouteTableHolder();
  routes.adopt(config(1, ["k1"]), new Uint8Array());
  const log = new EventLog({ sink: { write: () => {}, close: () => {} } });
  const authorizer = new RequestAuthorizer({
    routes,
    log,
    metrics: new TextMetrics(),
    configAgeMs: () => options.ageMs,
    confirmConfig: () => {
      const { newerKeys, isConfirmed = false } = options;
      if (newerKeys !== undefined) {
        routes.adopt(config(2, newerKeys), new Uint8Array());
      }
      return Promise.resolve(isConfirmed);
    },
  });
  const claims = [
    ["/orders/1", "k1"],
    ["/orders/1", "k2"],
    ["/orders/1", ""],
    ["/stock/1", ""],
    ["/stock/1", "k1"],
    ["/none", "k1"],
  ];
  return await Promise.all(claims.map(async ([path, key]) => {
    const found = await authorizer.authorize({
      id: "1",
      host: "a.example",
      path: path!,
      key: key!,
    });
    return found.kind === "denied"
      ? found.status
      : `${found.route.name} ${found.organisation?.name ?? "-"}`;
  }));
}

test("authorize() admits known keys and public routes only", async () => {
  assert.equal(await authorizeAll({ ageMs: 100 }), [
    "orders pub",
    401,
    401,
    "stock -",
    "stock pub",
    404,
  ]);
});

// A daemon that has lost the store must not deny a key that was added since.
test("authorize() denies nothing by an outdated configuration", async () => {
  assert.equal(await authorizeAll({ ageMs: 5_000 }), [
    "orders pub",
    503,
    503,
    "stock -",
    "stock pub",
    503,
  ]);
});

// A request with a new key may come before the version that adds it.
test("authorize() reads the configuration before it denies a key", async () => {
  const found = await authorizeAll({
    ageMs: 5_000,
    isConfirmed: true,
    newerKeys: ["k1", "k2"],
  });
  assert.equal(found.slice(0, 3), ["orders pub", "orders pub", 401]);
});

test.run();
