import { test } from "uvu";
import * as assert from "uvu/assert";
import { SourceDocument } from "../../protocol/source_document.ts";
import { sampleBase } from "../../../testkit/sample_config.ts";
import { checkConfiguration } from "./check_configuration.ts";

function kindsOf(overlays: Record<string, unknown>): string[] {
  const base = sampleBase();
  base.services["lookup"]!.approvedCallers.push("stranger");
  for (const service of Object.values(base.services)) {
    service.health.timeoutMs = 100;
  }
  const parse = (name: string, value: unknown) =>
    SourceDocument.parse(name, JSON.stringify(value));
  const { findings } = checkConfiguration({
    base: parse("base.jsonc", base),
    overlays: Object.fromEntries(
      Object.entries(overlays).map(([site, overlay]) => [
        site,
        parse(`sites/${site}.jsonc`, overlay),
      ]),
    ),
  });
  return findings.map(({ kind, path, sites }) =>
    `${kind} ${path.join(".")} ${sites.join()}`
  );
}

const APPROVE_ONE = {
  services: { lookup: { approvedCallers: ["vendor"] } },
};
const NO_ORDERS = { routes: { order: null } };

// Pattern: an overlay takes a service or a caller from one site on purpose.
test("an entry that only some sites do not use is no finding", () => {
  assert.equal(kindsOf({ east: {}, west: APPROVE_ONE, north: NO_ORDERS }), []);
});

test("an entry that no site uses is one finding for all sites", () => {
  assert.equal(kindsOf({ east: APPROVE_ONE, west: APPROVE_ONE }), [
    "caller-without-approval callers.stranger east,west",
  ]);
  assert.equal(kindsOf({ east: NO_ORDERS }), [
    "service-without-route services.order east",
  ]);
});

test("a nested removal of an absent field is found, other removals are not", () => {
  assert.equal(
    kindsOf({
      east: {
        routes: { lookup: { rank: null }, proof: null },
        services: { proof: null },
      },
    }),
    ["removal-of-absent routes.lookup.rank east"],
  );
});

test.run();
