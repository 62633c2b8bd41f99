/**
 * The daemon beside one backend server of a mesh, without a deployment's
 * dialect.
 *
 * @module
 */
export * from "./ports.ts";
export * from "./sidecar.ts";
export * from "./sidecar_settings.ts";
