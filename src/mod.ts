/**
 * The library on which the daemon and the command line are built.
 *
 * @module
 */
export * from "./coordination/admission/mod.ts";
export * from "./coordination/claims/mod.ts";
export * from "./coordination/config/mod.ts";
export * from "./coordination/dispatch/mod.ts";
export * from "./coordination/membership/mod.ts";
export * from "./coordination/quarantine/mod.ts";
export * from "./coordination/quota/mod.ts";
export * from "./coordination/readers/mod.ts";
export * from "./coordination/retry/mod.ts";
export * from "./coordination/routing/mod.ts";
export * from "./coordination/slots/mod.ts";
export * from "./daemon/mod.ts";
export * from "./protocol/mod.ts";
export * from "./sidecar/mod.ts";
export * from "./state/mod.ts";
