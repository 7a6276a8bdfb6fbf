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
 * Part of the window after which the start of a request that runs or waits is
 * asked for. The answer arrives before the request would be counted, so that
 * requests that run longer than a window are not taken for waiting ones.
 */
const QUERY_RATIO = 0.7;
/** Time after which the start of a request that still waits is asked for again. */
const QUERY_INTERVAL_MS = 500;

/** A charged request that has not ended. */
export interface OpenCharge {
  /**
   * Records that an upstream has started the request, which still runs.
   *
   * @param startedAtMs Monotonic time of the start, in ms; undefined when the
   *   upstream has not run it after all.
   */
  markStarted(startedAtMs: number | undefined): void;
  /**
   * Records that the request has ended.
   *
   * @param startedAtMs Latest monotonic time at which an upstream has started it,
   *   in ms.
   */
  end(startedAtMs: number): void;
}

type Charge = OpenCharge & {
  readonly chargedAtMs: number;
  /** Asks for the start; the answer is given to {@link OpenCharge.markStarted}. */
  readonly queryStart: () => void;
  queriedAtMs: number;
};

/**
 * Counts the requests of one tenant at one daemon that were charged longer than a
 * window ago and may have been started within the window: those that have not
 * ended, and those that have ended and were started within it.
 */
export class HeldCharges {
  readonly #windowMs: number;
  /** Changes of the count by cell. */
  readonly #changes = new Map<number, number>();
  /** Charges whose start is not known, in the order of their times. */
  readonly #unstarted = new Set<Charge>();
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
   * @param chargedAtMs Monotonic time, in ms.
   * @param queryStart Asks for the start of the request.
   * @returns The charge; `end` is called once.
   */
  charge(chargedAtMs: number, queryStart: () => void): OpenCharge {
    this.#change(this.#firstCell(chargedAtMs), 1);
    let releaseCell: number | undefined;
    let isEnded = false;
    const release = (startedAtMs: number | undefined) => {
      if (releaseCell !== undefined) {
        this.#change(releaseCell, 1);
      }
      releaseCell = startedAtMs === undefined
        ? undefined
        : this.#releaseCell(chargedAtMs, startedAtMs);
      if (releaseCell !== undefined) {
        this.#change(releaseCell, -1);
      }
    };
    const charge: Charge = {
      chargedAtMs,
      queryStart,
      queriedAtMs: -Infinity,
      markStarted: (startedAtMs) => {
        if (isEnded) {
          // The answer to a query may arrive after the end.
          return;
        }
        release(startedAtMs);
        if (startedAtMs === undefined) {
          this.#unstarted.add(charge);
        } else {
          this.#unstarted.delete(charge);
        }
      },
      end: (startedAtMs) => {
        isEnded = true;
        release(startedAtMs);
        this.#unstarted.delete(charge);
      },
    };
    this.#unstarted.add(charge);
    return charge;
  }

  /**
   * Asks for the starts of the requests that were charged long ago.
   *
   * @param nowMs Monotonic time, in ms.
   */
  queryStarts(nowMs: number): void {
    const untilMs = nowMs - this.#windowMs * QUERY_RATIO;
    for (const charge of this.#unstarted) {
      if (charge.chargedAtMs > untilMs) {
        return;
      }
      if (nowMs - charge.queriedAtMs >= QUERY_INTERVAL_MS) {
        charge.queriedAtMs = nowMs;
        charge.queryStart();
      }
    }
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

  #releaseCell(chargedAtMs: number, startedAtMs: number): number {
    return startedAtMs - chargedAtMs <= STARTS_SOON_MS
      ? this.#firstCell(chargedAtMs)
      : Math.ceil((startedAtMs + this.#windowMs) / CELL_MS);
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
