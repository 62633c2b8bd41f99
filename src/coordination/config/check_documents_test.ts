import { test } from "uvu";
import * as assert from "uvu/assert";
import { readFileSync } from "node:fs";
import {
  formatProblem,
  SourceDocument,
} from "../../protocol/source_document.ts";
import { checkDocuments } from "./check_documents.ts";

const BASE = readFileSync("examples/association/base.jsonc", "utf8");

function problemsOf(base: string, overlay?: string): string {
  const overlays: Record<string, SourceDocument> = overlay === undefined
    ? {}
    : { east: SourceDocument.parse("sites/east.jsonc", overlay) };
  return checkDocuments({
    base: SourceDocument.parse("base.jsonc", base),
    overlays,
  }).map(formatProblem).join("\n");
}

function problemsWith(find: string, replacement: string): string {
  assert.ok(BASE.includes(find), find);
  return problemsOf(BASE.replace(find, replacement));
}

test("checkDocuments() accepts the example", () => {
  assert.is(problemsOf(BASE), "");
});

test("checkDocuments() locates each problem of a base by line and column", () => {
  const variants = [
    problemsWith('"pathPrefix": "/orders"', '"pathPrefix": "orders"'),
    problemsWith('"service": "order"', '"service": "ordre"'),
    problemsWith('"rank": "urgent"', '"rank": "asap"'),
    problemsWith('"owner": "sales-team"', '"ownr": "sales-team"'),
    problemsWith('"timeoutMs": 1000', '"timeoutMs": "1 s"'),
    problemsWith(
      '"approvedCallers": ["stalls"]',
      '"approvedCallers": ["stall"]',
    ),
    problemsWith('"/patterns"', '"/stock"'),
    problemsWith('"urgent": 0.6', '"urgent": 0.9'),
    problemsWith('"maxRunning": 200', '"maxRunning": 0'),
    problemsWith('"delivery": "at-most-once",', ""),
    problemsWith('"orders": {', '"stock": {'),
    problemsWith('"services": {', '"services": {{'),
  ];
  assert.snapshot(
    variants.map((problems) => problems.split("\n")[0]).join("\n"),
    `base.jsonc:69:17: routes.orders.pathPrefix: Invalid string: must start with "/"
base.jsonc:69:63: route "orders" points at unknown service "ordre"
base.jsonc:11:7: services.lookup.rank: Invalid option: expected one of "urgent"|"standard"|"bulk"
base.jsonc:28:5: services.order.owner: Invalid input: expected string, received undefined
base.jsonc:13:7: services.lookup.timeoutMs: Invalid input: expected number, received string
base.jsonc:38:27: service "order" approves unknown caller "stall"
base.jsonc:68:19: route "patterns" matches the same requests as "stock"
base.jsonc:15:7: services.lookup.shares: shares add up to more than 1
base.jsonc:74:103: callers.stalls.maxRunning: Too small: expected number to be >=1
base.jsonc:28:5: services.order.delivery: Invalid option: expected one of "idempotent"|"at-most-once"
base.jsonc:69:5: duplicate key "stock"
base.jsonc:7:16: Cannot parse base.jsonc: PropertyNameExpected`,
  );
});

test("checkDocuments() locates problems of an overlay in the overlay", () => {
  const overlays = [
    '{ "services": { "order": { "timeoutMs": -1 } } }',
    '{ "routes": { "orders": { "service": "none" } } }',
    '{ "servces": {} }',
    '{ "services": { "order": { "colour": "red" } } }',
    '{ "callers": { "stalls": null } }',
    '{ "services": { "new": { "owner": "x" } } }',
  ];
  assert.snapshot(
    overlays.map((overlay) => problemsOf(BASE, overlay).split("\n")[0])
      .join("\n"),
    `sites/east.jsonc:1:28: site "east": services.order.timeoutMs: Too small: expected number to be >=1
sites/east.jsonc:1:27: route "orders" points at unknown service "none"
sites/east.jsonc:1:3: servces: unknown field
sites/east.jsonc:1:28: site "east": services.order.colour: unknown field
base.jsonc:38:27: service "order" approves unknown caller "stalls"
sites/east.jsonc:1:17: site "east": services.new.rank: Invalid option: expected one of "urgent"|"standard"|"bulk"`,
  );
});

test.run();
