/**
 * Fleet membership: failure detection, gossip and bridges between domains.
 *
 * @module
 */
export * from "./bridge_selector.ts";
export * from "./gossip_queue.ts";
export * from "./failure_detector.ts";
export * from "./membership.ts";
