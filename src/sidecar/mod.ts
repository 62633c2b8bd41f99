/**
 * The sidecar daemon of one backend server of a mesh, independent of the store
 * and the header names of a deployment.
 *
 * @module
 */
export * from "./ports.ts";
export * from "./sidecar.ts";
export * from "./sidecar_settings.ts";
