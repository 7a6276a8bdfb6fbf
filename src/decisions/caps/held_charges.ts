/** Charged requests that an upstream may start, or has started, long after. */

/** Span whose changes are summed up. */
const CELL_MS = 100;
/**
 * Requests that start within this time of their charge are not counted. The bound
 * allows for it: the cap may be exceeded by a tenth of the window, of which stocks
 * and tokens on the way take 400 ms.
 */
const STARTS_SOON_MS = 100;

/**
 * Counts the requests of one tenant at one daemon that were charged longer than a
 * window ago and may have been started within the window: those that have not
 * ended, and those that have ended and were started within it.
 */
export class HeldCharges {
  readonly #windowMs: number;
  /** Changes of the count by cell. */
  readonly #changes = new Map<number, number>();
  #count = 0;

  /**
   * @param windowMs Sliding window of the cap, in ms.
   */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /**
   * Records a charged request.
   *
   * @param nowMs Monotonic time, in ms.
   */
  charge(nowMs: number): void {
    this.#change(this.#firstCell(nowMs), 1);
  }

  /**
   * Records that a request has ended.
   *
   * @param chargedAtMs Monotonic time at which it was charged, in ms.
   * @param startedAtMs Latest monotonic time at which an upstream has started it,
   *   in ms.
   */
  end(chargedAtMs: number, startedAtMs: number): void {
    const cell = startedAtMs - chargedAtMs <= STARTS_SOON_MS
      ? this.#firstCell(chargedAtMs)
      : Math.ceil((startedAtMs + this.#windowMs) / CELL_MS);
    this.#change(cell, -1);
  }

  /**
   * Returns the largest number of these requests within a time from now on.
   *
   * @param nowMs Monotonic time, in ms.
   * @param aheadMs The time, in ms.
   */
  maxCount(nowMs: number, aheadMs: number): number {
    const nowCell = Math.floor(nowMs / CELL_MS);
    for (const [cell, change] of this.#changes) {
      if (cell <= nowCell) {
        this.#count += change;
        this.#changes.delete(cell);
      }
    }
    let count = this.#count;
    let maxCount = count;
    if (this.#changes.size > 0) {
      const lastCell = Math.floor((nowMs + aheadMs) / CELL_MS);
      for (let cell = nowCell + 1; cell <= lastCell; cell++) {
        count += this.#changes.get(cell) ?? 0;
        maxCount = Math.max(maxCount, count);
      }
    }
    return maxCount;
  }

  #firstCell(chargedAtMs: number): number {
    return Math.floor((chargedAtMs + this.#windowMs) / CELL_MS);
  }

  #change(cell: number, change: number): void {
    const next = (this.#changes.get(cell) ?? 0) + change;
    if (next === 0) {
      this.#changes.delete(cell);
    } else {
      this.#changes.set(cell, next);
    }
  }
}
