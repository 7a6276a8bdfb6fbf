/** How long requests wait, and may wait, in the queue of an upstream. */

/**
 * A refusable request is refused on arrival when its expected wait exceeds this
 * share of the time until its latency goal.
 */
const WAIT_MAX_GOAL_RATIO = 0.5;
/**
 * A refusable request may wait in the queue for at least this share of its
 * remaining time.
 */
const WAIT_MIN_RATIO = 0.5;

/** What an upstream runs before a new request. */
export type QueueLoad = {
  /** Requests that run before it. */
  readonly aheadCount: number;
  /** Requests that run at once. */
  readonly limitCount: number;
  /** Expected time of a run, in ms. */
  readonly expectedRunMs: number;
  /** Wait for the limit of requests a second that the upstream names, in ms. */
  readonly rateWaitMs: number;
};

/** Times of a request that may wait. */
export type WaitingTimes = {
  /** Whether another upstream may run it. */
  readonly isRefusable: boolean;
  /** Time until its deadline, in ms. */
  readonly remainingMs: number;
};

/**
 * Estimates the wait of a new request.
 *
 * @param load What runs before it.
 * @returns Expected wait, in ms.
 */
export function expectedWaitMs(
  { aheadCount, limitCount, expectedRunMs, rateWaitMs }: QueueLoad,
): number {
  const slotWaitMs = limitCount === 0
    ? 0
    : aheadCount * expectedRunMs / limitCount;
  return Math.max(slotWaitMs, rateWaitMs);
}

/**
 * Returns whether a refusable request would wait for too long to meet its goal.
 *
 * @param waitMs Expected wait, in ms.
 * @param goalRemainingMs Time until its latency goal, in ms.
 * @returns True when it should be refused on arrival.
 */
export function exceedsGoal(waitMs: number, goalRemainingMs: number): boolean {
  return waitMs > Math.max(0, goalRemainingMs) * WAIT_MAX_GOAL_RATIO;
}

/**
 * Returns how long a request may wait. A refusable one is refused while there is
 * still time to run it at another upstream.
 *
 * @param times Times of the request.
 * @param expectedRunMs Expected time of a run, in ms.
 * @returns Longest wait, in ms.
 */
export function maxWaitMs(
  { isRefusable, remainingMs }: WaitingTimes,
  expectedRunMs: number,
): number {
  return isRefusable
    ? Math.max(remainingMs * WAIT_MIN_RATIO, remainingMs - expectedRunMs)
    : remainingMs;
}
