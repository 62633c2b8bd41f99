import { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import { LRUCache } from "lru-cache";

/** Validity period of a token, in ms; the adjacent periods are accepted too. */
const TOKEN_PERIOD_MS = 300_000;
/** Number of verified tokens that are cached. */
const MAX_VERIFIED = 5_000;
/** Longest token that is verified, in characters. */
const MAX_TOKEN_LENGTH = 512;

/** A key that all daemons share. */
export interface FleetKey {
  readonly id: string;
  readonly secret: string;
}

/**
 * Creates and verifies the tokens with which daemons authenticate each other.
 *
 * A token names its sender, a key and a period, with an HMAC over all of them.
 * The first key signs and all keys are accepted, so that keys can be rotated
 * without downtime: append the new key on all daemons, then move it to the
 * front, then remove the old one.
 *
 * @example
 * ```ts
 * const auth = new PeerAuth([{ id: "k1", secret: "0123456789abcdef" }]);
 * auth.verify(auth.token("a", 0), 0); // "a"
 * ```
 */
export class PeerAuth {
  readonly #keys: readonly FleetKey[];
  readonly #verified = new LRUCache<string, { period: number; sender: string }>(
    { max: MAX_VERIFIED },
  );
  #ownToken: { period: number; sender: string; token: string } | undefined;

  /**
   * Creates an authenticator.
   *
   * @param keys The keys; the first signs.
   */
  constructor(keys: readonly FleetKey[]) {
    this.#keys = keys;
  }

  /**
   * Returns a token for the current period.
   *
   * @param sender Id of this daemon.
   * @param nowMs Unix time, in ms.
   * @returns The token.
   */
  token(sender: string, nowMs: number): string {
    const period = periodOf(nowMs);
    if (this.#ownToken?.period === period && this.#ownToken.sender === sender) {
      return this.#ownToken.token;
    }
    const key = this.#keys[0]!;
    const token = sign(key, sender, period);
    this.#ownToken = { period, sender, token };
    return token;
  }

  /**
   * Verifies a token.
   *
   * @param token The token, if one was sent.
   * @param nowMs Unix time, in ms.
   * @returns The sender's id, or `undefined` if the token is not valid now.
   */
  verify(token: string | undefined, nowMs: number): string | undefined {
    if (token === undefined || token.length > MAX_TOKEN_LENGTH) {
      return undefined;
    }
    const cached = this.#verified.get(token);
    if (cached !== undefined) {
      return isCurrent(cached.period, nowMs) ? cached.sender : undefined;
    }
    const [keyId, periodText, sender] = token.split(".", 3);
    const key = this.#keys.find((candidate) => candidate.id === keyId);
    const period = Number(periodText);
    if (key === undefined || sender === undefined) return undefined;
    if (!isCurrent(period, nowMs)) return undefined;
    const name = Buffer.from(sender, "base64url").toString();
    if (!isEqualText(token, sign(key, name, period))) return undefined;
    this.#verified.set(token, { period, sender: name });
    return name;
  }
}

function periodOf(nowMs: number): number {
  return Math.floor(nowMs / TOKEN_PERIOD_MS);
}

function isCurrent(period: number, nowMs: number): boolean {
  return Math.abs(period - periodOf(nowMs)) <= 1;
}

function sign(key: FleetKey, sender: string, period: number): string {
  const name = Buffer.from(sender).toString("base64url");
  const text = `${key.id}.${period}.${name}`;
  const mac = createHmac("sha256", key.secret).update(text);
  return `${text}.${mac.digest("base64url")}`;
}

function isEqualText(a: string, b: string): boolean {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && timingSafeEqual(left, right);
}
