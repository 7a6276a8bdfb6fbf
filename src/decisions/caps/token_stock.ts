/** Tokens of one tenant that one daemon holds. */

/** A token that is in use. */
export type UsedToken = {
  /** Owner that has granted it. */
  readonly ownerName: string;
  /** Monotonic time until which it may be used, in ms. */
  readonly expiresAtMs: number;
};

/** Tokens of one grant. */
type TokenLot = {
  readonly ownerName: string;
  readonly expiresAtMs: number;
  count: number;
};

/** Granted tokens, which expire unless they are used soon. */
export class TokenStock {
  #lots: TokenLot[] = [];
  readonly #expired = new Map<string, number>();

  /** Tokens that may be used, as of the last call with a time. */
  get count(): number {
    return this.#lots.reduce((sum, lot) => sum + lot.count, 0);
  }

  /**
   * Adds granted tokens.
   *
   * @param count Tokens.
   * @param ownerName Owner that has granted them.
   * @param expiresAtMs Monotonic time until which they may be used, in ms.
   */
  add(count: number, ownerName: string, expiresAtMs: number): void {
    if (count <= 0) {
      return;
    }
    const known = this.#lots.find((lot) =>
      lot.expiresAtMs === expiresAtMs && lot.ownerName === ownerName
    );
    if (known !== undefined) {
      known.count += count;
      return;
    }
    this.#lots.push({ ownerName, expiresAtMs, count });
    this.#lots.sort((a, b) => a.expiresAtMs - b.expiresAtMs);
  }

  /**
   * Uses the token that expires first.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The token; undefined when there was none.
   */
  take(nowMs: number): UsedToken | undefined {
    this.expire(nowMs);
    const [first] = this.#lots;
    if (first === undefined) {
      return undefined;
    }
    first.count--;
    if (first.count <= 0) {
      this.#lots.shift();
    }
    return first;
  }

  /**
   * Takes back a token whose request has not run. One that has expired is dropped:
   * the bucket has earned since it was granted, and could exceed the cap with it.
   *
   * @param token The token.
   * @param nowMs Monotonic time, in ms.
   */
  takeBack({ ownerName, expiresAtMs }: UsedToken, nowMs: number): void {
    if (nowMs < expiresAtMs) {
      this.add(1, ownerName, expiresAtMs);
    }
  }

  /**
   * Removes the tokens that may no longer be used. They are returned to their
   * owners.
   *
   * @param nowMs Monotonic time, in ms.
   */
  expire(nowMs: number): void {
    while (this.#lots[0] !== undefined && this.#lots[0].expiresAtMs <= nowMs) {
      const { ownerName, count } = this.#lots.shift() as TokenLot;
      this.addExpired(count, ownerName);
    }
  }

  /**
   * Adds tokens that have arrived too late to be used.
   *
   * @param count Tokens.
   * @param ownerName Owner that has granted them.
   */
  addExpired(count: number, ownerName: string): void {
    if (count > 0) {
      const known = this.#expired.get(ownerName) ?? 0;
      this.#expired.set(ownerName, known + count);
    }
  }

  /**
   * Takes the tokens that are to be returned to an owner, each of them once.
   *
   * @param ownerName Owner that has granted them.
   * @returns Tokens.
   */
  takeExpired(ownerName: string): number {
    const count = this.#expired.get(ownerName) ?? 0;
    this.#expired.delete(ownerName);
    return count;
  }

  /** Drops all tokens without returning them. */
  clear(): void {
    this.#lots = [];
    this.#expired.clear();
  }
}
