/** Charged requests that an upstream may start, or has started, long after. */

/** Span whose changes are summed up. */
const CELL_MS = 100;
/**
 * Requests that end within this time of their charge are not counted. The bound
 * allows for it: the cap may be exceeded by a tenth of the window, of which stocks
 * and tokens on the way take 400 ms.
 */
const ENDS_SOON_MS = 100;

/**
 * Counts the requests of one tenant at one daemon that were charged longer than a
 * window ago and may have been started within the window: those that have not
 * ended, and those that ended within it. The moment of the start is not known at
 * the daemon that is charged, so the end stands for it.
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
   * Records that no upstream will start a request any more.
   *
   * @param chargedAtMs Monotonic time at which it was charged, in ms.
   * @param nowMs Monotonic time, in ms.
   */
  end(chargedAtMs: number, nowMs: number): void {
    const cell = nowMs - chargedAtMs <= ENDS_SOON_MS
      ? this.#firstCell(chargedAtMs)
      : Math.ceil((nowMs + this.#windowMs) / CELL_MS);
    this.#change(cell, -1);
  }

  /**
   * Returns the number of these requests.
   *
   * @param nowMs Monotonic time, in ms.
   */
  count(nowMs: number): number {
    const nowCell = Math.floor(nowMs / CELL_MS);
    for (const [cell, change] of this.#changes) {
      if (cell <= nowCell) {
        this.#count += change;
        this.#changes.delete(cell);
      }
    }
    return this.#count;
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
