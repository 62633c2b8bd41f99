/** Header with the request id, echoed on every answer. */
export const HEADER_REQUEST_ID = "x-sesamepond-request-id";
/** Header with the id of the request on whose behalf a backend server calls. */
export const HEADER_PARENT = "x-sesamepond-parent";
/** Header with the time left, in ms. */
export const HEADER_TIMEOUT_MS = "x-sesamepond-timeout-ms";
/** Header with the outcome of an answer. */
export const HEADER_OUTCOME = "x-sesamepond-outcome";
/** Header with the reason of an answer made by the system. */
export const HEADER_REASON = "x-sesamepond-reason";
/** Header that says whether the request may be sent again. */
export const HEADER_RETRY = "x-sesamepond-retry";
/** Header with the destination's load: running, queued and limit. */
export const HEADER_LOAD = "x-sesamepond-load";
/** Header with the rank of a forwarded request. */
export const HEADER_RANK = "x-sesamepond-rank";
/** Header with the caller's name on a forwarded request. */
export const HEADER_CALLER = "x-sesamepond-caller";
/** Header with the service of a forwarded request. */
export const HEADER_SERVICE = "x-sesamepond-service";
/** Header with the retries left in the call tree. */
export const HEADER_RETRIES_LEFT = "x-sesamepond-retries-left";
/** Header with the nesting depth of the call. */
export const HEADER_DEPTH = "x-sesamepond-depth";
/** Header with the fingerprint of a forwarded request. */
export const HEADER_FINGERPRINT = "x-sesamepond-fingerprint";
/** Header with the digest of a forwarded request's content. */
export const HEADER_CONTENT_DIGEST = "x-sesamepond-content-digest";
/** Header with the credential of a daemon. */
export const HEADER_PEER_TOKEN = "x-sesamepond-peer";
/** Header set where a stored answer is replayed. */
export const HEADER_REPLAYED = "x-sesamepond-replayed";
/** Header with the caller's idempotency key. */
export const HEADER_IDEMPOTENCY_KEY = "idempotency-key";
/** Prefix of all headers that belong to the system. */
export const HEADER_PREFIX = "x-sesamepond-";
