/**
 * Latency goal by which a call waits at a pool for which flows compete. Answers
 * loads in which requests with different goals make calls to one pool: a call
 * that has only the late goal of its request waits behind all others until its
 * own deadline, and the request fails.
 */

/**
 * Share of the time until a call's deadline in which it should run. The goal of
 * the call's route would be too early: calls would overtake short requests whose
 * goals are near.
 */
const RUN_BY_RATIO = 0.75;

/**
 * Returns the goal that orders a call in the queue.
 *
 * @param inheritedGoalAtMs Goal of the request that makes it, as a monotonic
 *   time in ms.
 * @param call Monotonic times of its arrival and its deadline, in ms.
 * @returns That goal, or a time before the call's deadline if that is earlier.
 */
export function callGoalAtMs(
  inheritedGoalAtMs: number,
  { arrivedAtMs, expiresAtMs }: { arrivedAtMs: number; expiresAtMs: number },
): number {
  const runByMs = arrivedAtMs + RUN_BY_RATIO * (expiresAtMs - arrivedAtMs);
  return Math.min(inheritedGoalAtMs, runByMs);
}
