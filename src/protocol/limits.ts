/** Longest timeout that a service may set, in ms. */
export const MAX_TIMEOUT_MS = 3_600_000;
