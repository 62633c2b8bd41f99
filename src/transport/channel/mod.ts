/**
 * Multiplexed connections between daemons.
 *
 * @module
 */
export * from "./call_channel.ts";
export * from "./channel_handshake.ts";
export * from "./channel_server.ts";
