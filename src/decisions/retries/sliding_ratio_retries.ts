/** Retries bounded end to end by a budget per pool over a sliding window. */
import { isRetryable } from "./is_retryable.ts";
import type { FailedAttempt, RetryPolicy } from "./retry_policy.ts";
import { SlidingCounter } from "./sliding_counter.ts";

const WINDOW_MS = 10_000;
/**
 * Longest call chain. A retry that may repeat downstream calls is charged this
 * many times, because every hop of a chain may make such retries and all of
 * them reach the deepest service.
 */
const CHAIN_DEPTH_MAX_COUNT = 24;

type Budget = { originals: SlidingCounter; charges: SlidingCounter };

/** Options of {@link SlidingRatioRetries}. */
export type SlidingRatioRetriesOptions = {
  /** Retries per original request over 10 s. */
  retryRatio: number;
};

/**
 * Allows retries up to a ratio of the original requests of the last 10 s.
 *
 * Retries by hops nearer the caller arrive here as repeated requests and are
 * charged to the budget as well, so that the attempts that reach any service
 * stay within `1 + retryRatio` per original over the whole chain.
 *
 * @example
 * const retries = new SlidingRatioRetries({ retryRatio: 0.1 });
 * retries.recordOriginal("certify", nowMs);
 * retries.mayRetry(notRun, nowMs); // false until ten originals were recorded
 */
export class SlidingRatioRetries implements RetryPolicy {
  #retryRatio: number;
  readonly #budgets = new Map<string, Budget>();

  /**
   * @param options Ratio of retries to originals.
   */
  constructor(options: SlidingRatioRetriesOptions) {
    this.#retryRatio = options.retryRatio;
  }

  /**
   * Applies a changed ratio.
   *
   * @param retryRatio Retries per original request over 10 s.
   */
  setRetryRatio(retryRatio: number): void {
    this.#retryRatio = retryRatio;
  }

  /** @inheritdoc */
  recordOriginal(pool: string, nowMs: number): void {
    this.#budgetOf(pool).originals.add(1, nowMs);
  }

  /** @inheritdoc */
  recordRepeated(pool: string, nowMs: number): void {
    this.#budgetOf(pool).charges.add(1, nowMs);
  }

  /** @inheritdoc */
  mayRetry(failed: FailedAttempt, nowMs: number): boolean {
    if (
      failed.exhausted || failed.attemptsLeftCount <= 0 ||
      failed.remainingMs <= 0 || !isRetryable(failed)
    ) {
      return false;
    }
    const budget = this.#budgetOf(failed.pool);
    const cost = mayRepeatCalls(failed) ? CHAIN_DEPTH_MAX_COUNT : 1;
    const allowed = Math.floor(
      budget.originals.count(nowMs).atLeast * this.#retryRatio,
    );
    if (budget.charges.count(nowMs).atMost + cost > allowed) {
      return false;
    }
    budget.charges.add(cost, nowMs);
    return true;
  }

  #budgetOf(pool: string): Budget {
    let budget = this.#budgets.get(pool);
    if (budget === undefined) {
      budget = {
        originals: new SlidingCounter(WINDOW_MS),
        charges: new SlidingCounter(WINDOW_MS),
      };
      this.#budgets.set(pool, budget);
    }
    return budget;
  }
}

/** Whether the failed attempt may have made calls that a retry repeats. */
function mayRepeatCalls(failed: FailedAttempt): boolean {
  return failed.outcome !== "not-run" && failed.calledFurther !== false;
}
