/** Rate at which requests may be started at an upstream. */

/**
 * Starts that may be made up for after a pause, as a time at the allowed rate.
 */
const BURST_MS = 500;
/** Rate of an upstream that takes nothing, so that its next limit is seen. */
const PROBE_RATE_PER_S = 0.5;
const MS_PER_S = 1_000;

/**
 * Token bucket whose rate an upstream in overload names in its answers. Without
 * a rate, any number of requests may be started.
 *
 * @example
 * rate.set(14.5, nowMs);
 * if (rate.mayStart(nowMs)) { rate.recordStart(nowMs); }
 */
export class StartRate {
  #perS: number | undefined;
  #tokens = 0;
  #updatedAtMs = 0;

  /** Allowed starts a second; undefined without a limit. */
  get perS(): number | undefined {
    return this.#perS;
  }

  /**
   * Changes the rate. A first rate begins without credit.
   *
   * @param perS Allowed starts a second; undefined to lift the limit.
   * @param nowMs Monotonic time, in ms.
   * @param startedCount Starts before a first rate that count towards it.
   */
  set(perS: number | undefined, nowMs: number, startedCount = 0): void {
    if (perS === undefined) {
      this.#perS = undefined;
      return;
    }
    if (this.#perS === undefined) {
      this.#tokens = -startedCount;
      this.#updatedAtMs = nowMs;
    } else {
      this.#refill(nowMs);
    }
    this.#perS = Math.max(perS, PROBE_RATE_PER_S);
  }

  /**
   * Returns whether a request may be started.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns True without a limit, and when a whole start is left.
   */
  mayStart(nowMs: number): boolean {
    return this.waitMs(nowMs) === 0;
  }

  /**
   * Counts a started request.
   *
   * @param nowMs Monotonic time, in ms.
   */
  recordStart(nowMs: number): void {
    if (this.#perS !== undefined) {
      this.#refill(nowMs);
      this.#tokens--;
    }
  }

  /**
   * Computes the time until a request may be started.
   *
   * @param nowMs Monotonic time, in ms.
   * @param aheadCount Requests that are started before it.
   * @returns Time in ms; 0 when it may be started now.
   */
  waitMs(nowMs: number, aheadCount = 0): number {
    if (this.#perS === undefined) {
      return 0;
    }
    this.#refill(nowMs);
    const missing = 1 + aheadCount - this.#tokens;
    return Math.max(0, missing) * MS_PER_S / this.#perS;
  }

  #refill(nowMs: number): void {
    const perS = this.#perS ?? 0;
    const tokensMax = Math.max(1, perS * BURST_MS / MS_PER_S);
    const earned = (nowMs - this.#updatedAtMs) * perS / MS_PER_S;
    this.#tokens = Math.min(tokensMax, this.#tokens + Math.max(0, earned));
    this.#updatedAtMs = nowMs;
  }
}
