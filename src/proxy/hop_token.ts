/** Tokens that authenticate daemons to each other on the hop listener. */
import { createHmac, timingSafeEqual } from "node:crypto";
import type { PeerKey } from "../schemas/settings_schema.ts";

/** Direction and instances that a token is valid for. */
export type TokenSubject = {
  readonly direction: "request" | "answer";
  readonly fromInstanceId: string;
  readonly toInstanceId: string;
};

// A token is accepted up to two periods before and after its own, so that
// clocks may differ by up to ten minutes.
const TOKEN_PERIOD_MS = 300_000;
const TOKEN_PERIODS_TOLERATED = 2;
const TOKEN_CACHE_MAX_COUNT = 10_000;
const TOKEN_BYTES = 16;

/**
 * Makes and checks tokens with the shared keys. A token covers the two
 * instances, the direction and a period. It is computed once per period,
 * direction and pair of instances, because an HMAC for each call would cost more
 * than all other work of the hop.
 *
 * @example
 * const tokens = new HopTokens(settings.peers.keys, () => Date.now());
 * tokens.make({ direction: "request", fromInstanceId: "a", toInstanceId: "b" });
 */
export class HopTokens {
  readonly #wallMs: () => number;
  readonly #issuedTokens = new Map<string, string>();
  readonly #verifiedPeriods = new Map<string, number>();
  #keys: readonly PeerKey[];

  /**
   * @param keys Shared keys: the first one signs, every one verifies.
   * @param wallMs Reads the wall clock, in ms since the epoch.
   */
  constructor(keys: readonly PeerKey[], wallMs: () => number) {
    this.#keys = keys;
    this.#wallMs = wallMs;
  }

  /**
   * Replaces the keys without a restart.
   *
   * @param keys Shared keys: the first one signs, every one verifies.
   */
  replaceKeys(keys: readonly PeerKey[]): void {
    this.#keys = keys;
    this.#issuedTokens.clear();
    this.#verifiedPeriods.clear();
  }

  /**
   * Returns the token of the current period.
   *
   * @param subject Direction and instances.
   * @returns `period.keyId.mac`.
   */
  make(subject: TokenSubject): string {
    const period = this.#period();
    const cacheKey = `${period} ${subjectText(subject)}`;
    const cached = this.#issuedTokens.get(cacheKey);
    if (cached !== undefined) {
      return cached;
    }
    const [key] = this.#keys as [PeerKey];
    const token = `${period}.${key.id}.${computeMac(key, subject, period)}`;
    addToCache(this.#issuedTokens, cacheKey, token);
    return token;
  }

  /**
   * Checks a token.
   *
   * @param token Token that the peer sent.
   * @param subject Direction and instances that the token must be made for.
   * @returns True if it was made with a known key in an accepted period.
   */
  check(token: string, subject: TokenSubject): boolean {
    const cacheKey = `${token} ${subjectText(subject)}`;
    const period = this.#verifiedPeriods.get(cacheKey) ??
      this.#verify(token, subject);
    if (
      period === undefined ||
      Math.abs(this.#period() - period) > TOKEN_PERIODS_TOLERATED
    ) {
      return false;
    }
    addToCache(this.#verifiedPeriods, cacheKey, period);
    return true;
  }

  #verify(token: string, subject: TokenSubject): number | undefined {
    const [periodText = "", keyId = "", mac = ""] = token.split(".");
    const period = Number(periodText);
    const key = this.#keys.find((candidate) => candidate.id === keyId);
    if (key === undefined || !Number.isSafeInteger(period)) {
      return undefined;
    }
    const expected = Buffer.from(computeMac(key, subject, period));
    const given = Buffer.from(mac);
    const equal = given.length === expected.length &&
      timingSafeEqual(given, expected);
    return equal ? period : undefined;
  }

  #period(): number {
    return Math.floor(this.#wallMs() / TOKEN_PERIOD_MS);
  }
}

function subjectText(subject: TokenSubject): string {
  return `${subject.direction} ${subject.fromInstanceId} ${subject.toInstanceId}`;
}

function computeMac(
  key: PeerKey,
  subject: TokenSubject,
  period: number,
): string {
  return createHmac("sha256", key.secret)
    .update(`${subjectText(subject)} ${period}`)
    .digest()
    .subarray(0, TOKEN_BYTES)
    .toString("base64url");
}

function addToCache<V>(cache: Map<string, V>, key: string, value: V): void {
  if (cache.size >= TOKEN_CACHE_MAX_COUNT) {
    cache.clear();
  }
  cache.set(key, value);
}
