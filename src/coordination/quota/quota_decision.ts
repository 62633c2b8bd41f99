import type { AccountLink } from "./account_links.ts";

/** On whose word a request was admitted or refused. */
export enum QuotaBasis {
  /** A token of the account, or its word that it has none. */
  Account = "account",
  /** This daemon's part of the limit, as the account is unreachable. */
  FixedShare = "fixed-share",
  /** A small rate until this daemon's lease at the account has ended. */
  Bridge = "bridge",
  /** The organisation has no limit. */
  Unlimited = "unlimited",
}

/** A refusal for want of tokens. */
export interface QuotaRefusal {
  readonly kind: "refused";
  readonly basis: QuotaBasis;
  readonly retryAfterMs: number;
  /** Tokens at the account by its last answer. */
  readonly level: number;
  readonly limitPerS: number;
  /** Age of that answer, in ms; `Infinity` if there was none. */
  readonly knownAgeMs: number;
}

/** Whether a request may run. */
export type QuotaDecision =
  | { readonly kind: "admitted"; readonly basis: QuotaBasis }
  | QuotaRefusal
  /** The account has to be asked. */
  | { readonly kind: "ask"; readonly link: AccountLink };
