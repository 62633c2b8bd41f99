import { test } from "uvu";
import * as assert from "uvu/assert";
import { ResourceSet } from "../../state/resource_set.ts";
import { sampleBase, sampleSource } from "../../../testkit/sample_config.ts";
import { compileSite } from "./compile_site.ts";

// Guards against names that are properties of each object of JavaScript: the
// look-up of an absent resource found the inherited property.
test("compileSite() rejects references to absent resources named constructor", () => {
  const approval = sampleBase();
  approval.services["lookup"]!.approvedCallers = ["constructor"];
  const route = sampleBase();
  route.routes["lookup"]!.service = "constructor";
  const messages = [approval, route].map((base) =>
    compileSite(sampleSource(base), "east")._unsafeUnwrapErr().message
  );
  assert.match(messages[0]!, /approves unknown caller "constructor"/);
  assert.match(messages[1]!, /points at unknown service "constructor"/);
});

test("compileSite() compiles a site named constructor, with and without an overlay", () => {
  const source = sampleSource();
  assert.ok(compileSite(source, "constructor").isOk());
  const overlay = { callers: { vendor: { maxRunning: 7 } } };
  const resources = ResourceSet.fromSource({
    ...source,
    sites: { constructor: overlay },
  });
  const config = compileSite(resources.toSource(), "constructor");
  assert.is(config._unsafeUnwrap().callers["vendor"]!.maxRunning, 7);
  assert.not(Object.hasOwn(Object, "callers"), "Object is unchanged");
});

test.run();
