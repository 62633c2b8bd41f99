import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { checkDelta } from "../../coordination/config/check_delta.ts";
import type { Json } from "../../protocol/canonical_json.ts";
import { SourceDocument } from "../../protocol/source_document.ts";
import { ConfigStore } from "../../state/config_store.ts";
import { ResourceSet } from "../../state/resource_set.ts";
import { sampleService } from "../../../testkit/sample_config.ts";
import { checkConfiguration } from "./check_configuration.ts";
import { FindingKind } from "./finding.ts";

/** Names; "constructor" is also a property of each object of JavaScript. */
const NAME = fc.constantFrom("lookup", "order", "vendors", "constructor");
const SITE = fc.constantFrom("east", "west", "constructor");
const PREFIX = fc.constantFrom("/", "/a", "/a/", "/a/b", "/b?", "b");
const DIGEST = fc.constantFrom("0", "1", "2", "3").map((d) => d.repeat(64));

const SERVICE = fc.record({
  timeoutMs: fc.constantFrom(100, 1_000, 5_000),
  maxBodyBytes: fc.constantFrom(0, 1_000),
  shares: fc.constantFrom(
    { urgent: 0.5, standard: 0.5, bulk: 0 },
    { urgent: 0.5, standard: 0.3, bulk: 0.1 },
    { urgent: 0.9, standard: 0.3, bulk: 0.1 },
  ),
  approvedCallers: fc.array(NAME, { maxLength: 2 }),
}).map((fields) => sampleService(fields) as unknown as Json);
const ROUTE = fc.record({
  pathPrefix: PREFIX,
  methods: fc.array(fc.constantFrom("GET", "POST", "FETCH"), { maxLength: 2 }),
  service: NAME,
}, { requiredKeys: ["pathPrefix", "service"] });
const CALLER = fc.record({
  tokenDigests: fc.array(DIGEST, { minLength: 1, maxLength: 2 }),
  maxRunning: fc.constantFrom(0, 1, 100, 100, 100),
});

const BASE = fc.record({
  services: fc.dictionary(NAME, SERVICE, { maxKeys: 3 }),
  routes: fc.dictionary(NAME, ROUTE, { maxKeys: 2 }),
  callers: fc.dictionary(NAME, CALLER, { maxKeys: 2 }),
}) as fc.Arbitrary<Json>;
const OVERLAY = fc.record({
  services: fc.dictionary(
    NAME,
    fc.oneof(
      fc.constant(null),
      fc.record({ timeoutMs: fc.constantFrom<Json>(0, 200, null) }),
      fc.record({ approvedCallers: fc.array(NAME, { maxLength: 2 }) }),
    ),
    { maxKeys: 1 },
  ),
  routes: fc.dictionary(NAME, fc.oneof(fc.constant(null), ROUTE), {
    maxKeys: 1,
  }),
  callers: fc.dictionary(NAME, fc.oneof(fc.constant(null), CALLER), {
    maxKeys: 1,
  }),
}, { requiredKeys: [] }) as fc.Arbitrary<Json>;

/** Returns whether a daemon of a site adopts the configuration from a peer. */
function isAdopted(resources: ResourceSet, site: string): boolean {
  const versions = { fromVersion: 0, toVersion: 1 };
  const delta = ResourceSet.empty().deltaTo(resources, versions);
  const options = { site, minVersion: 0 };
  const checked = checkDelta(new ConfigStore(), delta, options);
  return checked.isOk() && checked.value !== undefined;
}

// Guards against a configuration that passes the check and that a daemon of one
// site rejects, and against a check that rejects what all daemons accept.
test("checkConfiguration() accepts exactly what the daemons of all sites accept", () => {
  let acceptedCount = 0;
  let rejectedCount = 0;
  fc.assert(
    fc.property(
      BASE,
      fc.dictionary(SITE, OVERLAY, { minKeys: 1, maxKeys: 2 }),
      (base, overlays) => {
        const documents = {
          base: SourceDocument.parse("base", JSON.stringify(base)),
          overlays: Object.fromEntries(
            Object.entries(overlays).map(([site, overlay]) => [
              site,
              SourceDocument.parse(site, JSON.stringify(overlay)),
            ]),
          ),
        };
        const { findings, views } = checkConfiguration(documents);
        const isAccepted = findings.every(({ kind }) =>
          kind !== FindingKind.Invalid
        );
        // Also a site without an overlay, whose daemons use the base.
        const resources = ResourceSet.fromSource({ base, sites: overlays });
        const isValid = [...Object.keys(overlays), "north"]
          .every((site) => isAdopted(resources, site));
        assert.is(isAccepted, isValid);
        assert.is(views.length, isAccepted ? Object.keys(overlays).length : 0);
        if (isAccepted) acceptedCount++;
        else rejectedCount++;
      },
    ),
    { seed: 1, numRuns: 3_000 },
  );
  assert.ok(acceptedCount > 100, `${acceptedCount} accepted`);
  assert.ok(rejectedCount > 100, `${rejectedCount} rejected`);
});

test.run();
