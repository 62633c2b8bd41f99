/**
 * Control calls between daemons.
 *
 * @module
 */
export * from "./control_server.ts";
export * from "./fleet_client.ts";
export * from "./peer_auth.ts";
