/**
 * Sum of the runs that the callers of all daemons offer to a pool. Answers loads
 * of which each daemon sees another part, such as waves with a different phase
 * in each data centre.
 */

/** Time after which a report of a daemon or an upstream is discarded. */
export const FIGURES_MAX_AGE_MS = 1_000;

/** Offered runs per second by class, most important first. */
export type OfferedPerS = readonly number[];

/** Adds runs by class; a list may have more classes than the other. */
export function addByClass(a: OfferedPerS, b: OfferedPerS): number[] {
  const length = Math.max(a.length, b.length);
  return Array.from(
    { length },
    (_, priority) => (a[priority] ?? 0) + (b[priority] ?? 0),
  );
}

/**
 * Last reports of the daemons that offer runs to the pool of one upstream.
 *
 * @example
 * offers.record("orders-1", [12, 0, 40], nowMs);
 * offers.sum(nowMs); // [12, 0, 40]
 */
export class PoolOffers {
  /** Ordered by time, so that the first ones are the oldest. */
  readonly #reports = new Map<string, { perS: OfferedPerS; atMs: number }>();
  /** Sum of the reports; to add them up for each one costs a core with many. */
  #total: number[] = [];

  /** Number of daemons with a recent report. */
  get reportersCount(): number {
    return this.#reports.size;
  }

  /**
   * Replaces the report of a daemon.
   *
   * @param reporter Name of the daemon.
   * @param perS Runs that its callers offer.
   * @param nowMs Monotonic time, in ms.
   */
  record(reporter: string, perS: OfferedPerS, nowMs: number): void {
    this.#delete(reporter);
    this.#reports.set(reporter, { perS, atMs: nowMs });
    this.#total = addByClass(this.#total, perS);
  }

  /**
   * Sums the reports and forgets those that are too old, whose daemons may have
   * ended or lost their link.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Offered runs of all daemons.
   */
  sum(nowMs: number): number[] {
    for (const [reporter, { atMs }] of this.#reports) {
      if (nowMs - atMs <= FIGURES_MAX_AGE_MS) {
        break;
      }
      this.#delete(reporter);
    }
    return [...this.#total];
  }

  #delete(reporter: string): void {
    const report = this.#reports.get(reporter);
    if (report === undefined) {
      return;
    }
    this.#reports.delete(reporter);
    // Without reports no rounding error of the sum is left.
    this.#total = this.#reports.size === 0 ? [] : addByClass(
      this.#total,
      report.perS.map((perS) => -perS),
    ).map((perS) => Math.max(0, perS));
  }
}
