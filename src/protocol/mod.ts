/**
 * Messages, schemas and codes that the layers share.
 *
 * @module
 */
export * from "./address.ts";
export * from "./canonical_json.ts";
export * from "./config_schema.ts";
export * from "./headers.ts";
export * from "./limits.ts";
export * from "./mesh.ts";
export * from "./mesh_call.ts";
export * from "./outcome.ts";
export * from "./peer_headers.ts";
export * from "./rank.ts";
export * from "./settings_schema.ts";
export * from "./source_document.ts";
export * from "./step_error.ts";
export * from "./store.ts";
export * from "./gen/sesamepond/v1/fleet_pb.ts";
