/**
 * Quotas of organisations over all daemons together.
 *
 * @module
 */
export * from "./account_book.ts";
export * from "./account_group.ts";
export * from "./account_links.ts";
export * from "./fleet_view.ts";
export * from "./quota_account.ts";
export * from "./quota_decision.ts";
export * from "./quota_plan.ts";
export * from "./share_schedule.ts";
export * from "./token_holder.ts";
export * from "./token_store.ts";
