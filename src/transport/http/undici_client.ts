import buildConnector from "undici/lib/core/connect.js";
import Client from "undici/lib/dispatcher/client.js";

// Separate from `undici_parts.ts`, so that a process that manages its own
// connections does not load undici's pools.
export { buildConnector, Client };
