/**
 * Connections between daemons that carry many calls at a time.
 *
 * @module
 */
export * from "./call_channel.ts";
export * from "./channel_handshake.ts";
export * from "./channel_server.ts";
