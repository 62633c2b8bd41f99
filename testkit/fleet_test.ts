import { test } from "uvu";
import * as assert from "uvu/assert";
import { call } from "./caller.ts";
import { Fleet } from "./fleet.ts";
import { sampleBase, sampleSource } from "./sample_config.ts";

test("a domain that is cut off reaches neither the store nor other daemons", async () => {
  const fleet = await Fleet.start({
    network: 15,
    source: sampleSource(),
    domains: [
      { name: "east", services: ["lookup"] },
      { name: "west", services: ["", ""] },
    ],
  });
  try {
    const [west] = fleet.inDomain("west");
    fleet.cutDomain("west");
    fleet.cutFromStore("west");
    const base = sampleBase();
    base.routes.more = { pathPrefix: "/more", service: "lookup" };
    const head = await fleet.accept(sampleSource(base));
    await fleet.inDomain("east")[0]!.daemon.waitForVersion(head.version);
    const response = await call(west!.daemon.ingress, "/lookup/1");
    assert.is(await west!.daemon.fetchVersion(), 1);
    assert.not(response.status === 200);
    fleet.heal();
    await fleet.waitForVersion(head.version);
    const healed = await call(west!.daemon.ingress, "/lookup/1");
    assert.is(healed.status, 200, healed.reason);
  } finally {
    await fleet.close();
  }
});

test.run();
