import { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import { LRUCache } from "lru-cache";

/** Time for which a token is made, in ms; neighbours are accepted too. */
const TOKEN_PERIOD_MS = 300_000;
/** Verified tokens that are remembered. */
const MAX_VERIFIED = 5_000;
/** Longest token that is looked at, in characters. */
const MAX_TOKEN_LENGTH = 512;

/** A key that all daemons share. */
export interface FleetKey {
  readonly id: string;
  readonly secret: string;
}

/**
 * Makes and checks the tokens by which daemons know each other.
 *
 * A token names its sender, a key and a period, with an HMAC over all of them.
 * The first key signs and all keys are accepted, so that keys rotate without a
 * gap: add the new key last everywhere, then move it first, then drop the old.
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
  #own: { period: number; sender: string; token: string } | undefined;

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
   * @param nowMs Unix time.
   * @returns The token.
   */
  token(sender: string, nowMs: number): string {
    const period = periodOf(nowMs);
    if (this.#own?.period === period && this.#own.sender === sender) {
      return this.#own.token;
    }
    const key = this.#keys[0]!;
    const token = sign(key, sender, period);
    this.#own = { period, sender, token };
    return token;
  }

  /**
   * Checks a token.
   *
   * @param token The token, if there was one.
   * @param nowMs Unix time.
   * @returns The sender's id, or `undefined` where the token is not valid now.
   */
  verify(token: string | undefined, nowMs: number): string | undefined {
    if (token === undefined || token.length > MAX_TOKEN_LENGTH) {
      return undefined;
    }
    const known = this.#verified.get(token);
    if (known !== undefined) {
      return isCurrent(known.period, nowMs) ? known.sender : undefined;
    }
    const [keyId, periodText, sender] = token.split(".", 3);
    const key = this.#keys.find((one) => one.id === keyId);
    const period = Number(periodText);
    if (key === undefined || sender === undefined) return undefined;
    if (!isCurrent(period, nowMs)) return undefined;
    const name = Buffer.from(sender, "base64url").toString();
    if (!sameText(token, sign(key, name, period))) return undefined;
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

function sameText(a: string, b: string): boolean {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && timingSafeEqual(left, right);
}
