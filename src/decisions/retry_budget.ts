/** This daemon's share of the retries that a pool may get. */
import { SlidingCounter } from "./sliding_counter.ts";

/** Options of {@link RetryBudget}. */
export type RetryBudgetOptions = {
  /** Retries per request of a pool over the window, over all daemons. */
  ratio: number;
  windowMs: number;
  /** Retries allowed beyond the ratio, over all daemons. */
  slackCount: number;
};

/**
 * Share of the configured budget that is granted. A retry also repeats the
 * calls of the run, at pools whose requests this daemon does not see.
 */
const USED_RATIO = 0.4;

type Counters = { requests: SlidingCounter; retries: SlidingCounter };

/**
 * Bounds retries per pool. Each daemon applies the ratio to its own requests
 * and gets an equal share of the slack, so that the daemons need not exchange
 * counts.
 *
 * @example
 * budget.recordRequest("certify", nowMs);
 * budget.take("certify", { nowMs, daemonsCount: 14, cost: 1 });
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #byPool = new Map<string, Counters>();

  /**
   * @param options Bounds over all daemons.
   */
  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /**
   * Counts the first send of a request.
   *
   * @param pool Pool that runs it.
   * @param nowMs Monotonic time, in ms.
   */
  recordRequest(pool: string, nowMs: number): void {
    this.#countersOf(pool).requests.add(1, nowMs);
  }

  /**
   * Charges a retry to the budget if it is allowed.
   *
   * @param pool Pool that would run the retry.
   * @param options Monotonic time in ms, number of daemons that share the
   * slack, and number of runs that the retry causes along the call graph.
   * @returns True when the retry is allowed.
   */
  take(
    pool: string,
    options: { nowMs: number; daemonsCount: number; cost: number },
  ): boolean {
    const { ratio, slackCount } = this.#options;
    const counters = this.#countersOf(pool);
    const requestsCount = counters.requests.count(options.nowMs).atLeast;
    const slack = slackCount / Math.max(1, options.daemonsCount);
    const allowed = USED_RATIO * (ratio * requestsCount + slack);
    const usedCount = counters.retries.count(options.nowMs).atMost;
    // A retry that causes one run is allowed even if the share is less than 1.
    if (usedCount + options.cost > Math.max(1, allowed)) {
      return false;
    }
    counters.retries.add(options.cost, options.nowMs);
    return true;
  }

  #countersOf(pool: string): Counters {
    let counters = this.#byPool.get(pool);
    if (counters === undefined) {
      const { windowMs } = this.#options;
      counters = {
        requests: new SlidingCounter(windowMs),
        retries: new SlidingCounter(windowMs),
      };
      this.#byPool.set(pool, counters);
    }
    return counters;
  }
}
