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
/**
 * Share that is granted for requests that did not run and make no calls, while
 * callers of the pool do not retry what has failed. Retries that were sent
 * before may still repeat calls.
 */
const REFUSED_RETRIES_RATIO = 0.7;

/** A retry that is charged. */
type RetryCharge = {
  /** Monotonic time, in ms. */
  nowMs: number;
  /** Daemons that share the slack. */
  daemonsCount: number;
  /** Runs that the retry causes along the call graph. */
  cost: number;
};

type Counters = {
  requests: SlidingCounter;
  /** Requests of this window and the one before. */
  requestsOfTwo: SlidingCounter;
  retries: SlidingCounter;
};

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
    const { requests, requestsOfTwo } = this.#countersOf(pool);
    requests.add(1, nowMs);
    requestsOfTwo.add(1, nowMs);
  }

  /**
   * Charges a retry to the budget if it is allowed.
   *
   * @param pool Pool that would run the retry.
   * @param options Monotonic time in ms, number of daemons that share the
   * slack, and number of runs that the retry causes along the call graph.
   * @returns True when the retry is allowed.
   */
  take(pool: string, options: RetryCharge): boolean {
    const { requests } = this.#countersOf(pool);
    return this.#takeFrom(pool, options, {
      usedRatio: USED_RATIO,
      requestsCount: requests.count(options.nowMs).atLeast,
    });
  }

  /**
   * Charges a retry of a request that was refused as not run and makes no calls,
   * at a pool whose entry is limited to what such retries complete. The limit
   * reduces the requests, so those of the window before count if they were more.
   *
   * @param pool Pool that refused the request.
   * @param options Monotonic time in ms, and number of daemons that share the
   * slack.
   * @returns True when the retry is allowed.
   */
  takeForRefused(
    pool: string,
    options: Omit<RetryCharge, "cost">,
  ): boolean {
    const { requests, requestsOfTwo } = this.#countersOf(pool);
    const { atLeast, atMost } = requests.count(options.nowMs);
    const earlierCount = requestsOfTwo.count(options.nowMs).atLeast - atMost;
    return this.#takeFrom(pool, { ...options, cost: 1 }, {
      usedRatio: REFUSED_RETRIES_RATIO,
      requestsCount: Math.max(atLeast, earlierCount),
    });
  }

  #takeFrom(
    pool: string,
    options: RetryCharge,
    { usedRatio, requestsCount }: { usedRatio: number; requestsCount: number },
  ): boolean {
    const { ratio, slackCount } = this.#options;
    const counters = this.#countersOf(pool);
    const slack = slackCount / Math.max(1, options.daemonsCount);
    const allowed = usedRatio * (ratio * requestsCount + slack);
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
        requestsOfTwo: new SlidingCounter(2 * windowMs),
        retries: new SlidingCounter(windowMs),
      };
      this.#byPool.set(pool, counters);
    }
    return counters;
  }
}
