/**
 * Choice of the daemons that read the store for their failure domain.
 *
 * @module
 */
export * from "./choose_readers.ts";
