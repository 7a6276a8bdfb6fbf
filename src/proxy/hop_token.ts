/** Tokens that authenticate daemons to each other on the hop listener. */
import { createHmac, timingSafeEqual } from "node:crypto";
import type { PeerKey } from "../schemas/settings_schema.ts";

/** The two ends that a token is made for. */
export type TokenSubject = {
  readonly direction: "request" | "answer";
  readonly fromInstanceId: string;
  readonly toInstanceId: string;
};

// A token is valid for two periods on each side, so that clocks may differ by
// up to ten minutes.
const TOKEN_PERIOD_MS = 300_000;
const TOKEN_PERIODS_TOLERATED = 2;
const TOKEN_CACHE_MAX_COUNT = 10_000;
const TOKEN_BYTES = 16;

/**
 * Makes and checks tokens with the shared keys. A token covers the two
 * instances, the direction and a period, and is computed once per period
 * because an HMAC for each call would cost more than the rest of the hop's own
 * work.
 *
 * @example
 * const tokens = new HopTokens(settings.peers.keys, () => Date.now());
 * tokens.make({ direction: "request", fromInstanceId: "a", toInstanceId: "b" });
 */
export class HopTokens {
  readonly #wallMs: () => number;
  readonly #made = new Map<string, string>();
  readonly #checked = new Map<string, number>();
  #keys: readonly PeerKey[];

  /**
   * @param keys Shared keys; the first signs, all verify.
   * @param wallMs Reads the wall clock, in ms since the epoch.
   */
  constructor(keys: readonly PeerKey[], wallMs: () => number) {
    this.#keys = keys;
    this.#wallMs = wallMs;
  }

  /**
   * Replaces the keys without a restart.
   *
   * @param keys Shared keys; the first signs, all verify.
   */
  replaceKeys(keys: readonly PeerKey[]): void {
    this.#keys = keys;
    this.#made.clear();
    this.#checked.clear();
  }

  /**
   * Makes the token of the present period.
   *
   * @param subject The two ends and the direction.
   * @returns `period.keyId.mac`.
   */
  make(subject: TokenSubject): string {
    const period = this.#period();
    const cacheKey = `${period} ${describe(subject)}`;
    const cached = this.#made.get(cacheKey);
    if (cached !== undefined) {
      return cached;
    }
    const [key] = this.#keys as [PeerKey];
    const token = `${period}.${key.id}.${computeMac(key, subject, period)}`;
    remember(this.#made, cacheKey, token);
    return token;
  }

  /**
   * Checks a token.
   *
   * @param token Token that the peer sent.
   * @param subject The two ends and the direction that it must be made for.
   * @returns True when a known key made it in a tolerated period.
   */
  check(token: string, subject: TokenSubject): boolean {
    const cacheKey = `${token} ${describe(subject)}`;
    const period = this.#checked.get(cacheKey) ??
      this.#verify(token, subject);
    if (
      period === undefined ||
      Math.abs(this.#period() - period) > TOKEN_PERIODS_TOLERATED
    ) {
      return false;
    }
    remember(this.#checked, cacheKey, period);
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

function describe(subject: TokenSubject): string {
  return `${subject.direction} ${subject.fromInstanceId} ${subject.toInstanceId}`;
}

function computeMac(
  key: PeerKey,
  subject: TokenSubject,
  period: number,
): string {
  return createHmac("sha256", key.secret)
    .update(`${describe(subject)} ${period}`)
    .digest()
    .subarray(0, TOKEN_BYTES)
    .toString("base64url");
}

function remember<V>(cache: Map<string, V>, key: string, value: V): void {
  if (cache.size >= TOKEN_CACHE_MAX_COUNT) {
    cache.clear();
  }
  cache.set(key, value);
}
