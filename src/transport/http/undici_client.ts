import buildConnector from "undici/lib/core/connect.js";
import Client from "undici/lib/dispatcher/client.js";

// Apart from the pools of `undici_parts.ts`, which a process that manages its
// connections itself does not load.
export { buildConnector, Client };
