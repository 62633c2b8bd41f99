import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetClients } from "./fleet_client.ts";

// Guards against one odd address in the store that ends the daemons which read
// it as that of a reader.
test("FleetClients.call() returns an error for an address that no connection can be opened to", async () => {
  const clients = new FleetClients(() => "token");
  const addresses = ["127.0.0.1:99999", "127.0.0.1:http", "a b:1", "\u0000"];
  const results = await Promise.all(
    addresses.map((address) =>
      clients.call(address, "sync", (peer, options) => peer.sync({}, options))
    ),
  );
  clients.close();
  assert.equal(
    results.map((result) => result.isErr()),
    addresses.map(() => true),
  );
});

test.run();
