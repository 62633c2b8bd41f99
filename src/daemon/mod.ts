/**
 * The daemon that runs next to each backend server.
 *
 * @module
 */
export * from "./daemon.ts";
export * from "./run_daemon.ts";
