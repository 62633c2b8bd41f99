/** Header with the request id, echoed on every response. */
export const HEADER_REQUEST_ID = "x-sesamepond-request-id";
/** Header with the id of the request on whose behalf a backend server calls. */
export const HEADER_PARENT = "x-sesamepond-parent";
/** Header with the time left until the deadline, in ms. */
export const HEADER_TIMEOUT_MS = "x-sesamepond-timeout-ms";
/** Header with the outcome of a response. */
export const HEADER_OUTCOME = "x-sesamepond-outcome";
/** Header with the reason of a response that the system generated. */
export const HEADER_REASON = "x-sesamepond-reason";
/** Header that states whether the request may be sent again. */
export const HEADER_RETRY = "x-sesamepond-retry";
/** Header with the caller's name on a forwarded request. */
export const HEADER_CALLER = "x-sesamepond-caller";
/** Header with the credential of a daemon. */
export const HEADER_PEER_TOKEN = "x-sesamepond-peer";
/** Header that marks a replayed stored response. */
export const HEADER_REPLAYED = "x-sesamepond-replayed";
/** Header with the caller's idempotency key. */
export const HEADER_IDEMPOTENCY_KEY = "idempotency-key";
/** Prefix of the system's own headers. */
export const HEADER_PREFIX = "x-sesamepond-";
