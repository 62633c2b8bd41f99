/**
 * Which daemons read the store for the others of their failure domain.
 *
 * @module
 */
export * from "./choose_readers.ts";
