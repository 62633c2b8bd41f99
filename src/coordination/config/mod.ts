/**
 * Checks, compilation, acceptance and storage of configuration versions.
 *
 * @module
 */
export * from "./accept_change.ts";
export * from "./check_delta.ts";
export * from "./check_documents.ts";
export * from "./check_references.ts";
export * from "./compile_site.ts";
export * from "./head_record.ts";
export * from "./merge_patch.ts";
export * from "./version_records.ts";
