import { test } from "uvu";
import * as assert from "uvu/assert";
import { StoreContact } from "./store_contact.ts";

test("StoreContact.regain() says how long other calls were answered before", () => {
  const contact = new StoreContact(0);
  contact.regain(0);
  contact.recordAnswer(1_000);
  contact.lose();
  contact.recordAnswer(9_000);
  contact.recordAnswer(10_000);
  assert.equal(
    [contact.awayMs(11_000), contact.regain(12_000), contact.regain(12_000)],
    [10_000, { awayMs: 11_000, answeredForMs: 3_000 }, undefined],
  );
});

test("StoreContact.lose() counts from the last answer", () => {
  const contact = new StoreContact(0);
  contact.regain(0);
  contact.recordAnswer(500);
  contact.lose();
  contact.lose();
  assert.equal([contact.isConnected, contact.awayMs(800)], [false, 300]);
});

test.run();
