/**
 * Time after which a caller that a contested pool has refused should come back.
 * Answers callers that retry once: a retry that arrives when its answer would be
 * late in any case has lost most of its value, while the level changes little
 * within a third of its remaining time.
 */
import type { RandomSource } from "../../core/random.ts";

/**
 * Share of the latency goal that may pass before the retry. The rest is left for
 * the run of the retry itself.
 */
const WAIT_GOAL_RATIO = 0.8;
/** Share of its remaining time that a caller waits at the most. */
const WAIT_REMAINING_RATIO = 1 / 3;
/**
 * Shortest wait relative to the longest one. An immediate retry would find the
 * level that has refused the request.
 */
const WAIT_MIN_RATIO = 0.75;

/** Request that is refused. */
export type RefusedRequest = {
  /** Time until its latency goal, in ms. */
  readonly goalMs: number;
  /** Time until its caller gives up, in ms. */
  readonly remainingMs: number;
};

/**
 * Computes the time, spread so that callers refused together come back one after
 * the other.
 *
 * @param request Request.
 * @param random Random numbers.
 * @returns Time until the retry, in ms.
 */
export function spreadRetryAfterMs(
  { goalMs, remainingMs }: RefusedRequest,
  random: RandomSource,
): number {
  const longestMs = Math.max(
    0,
    Math.min(WAIT_GOAL_RATIO * goalMs, WAIT_REMAINING_RATIO * remainingMs),
  );
  const spread = 1 - WAIT_MIN_RATIO;
  return longestMs * (WAIT_MIN_RATIO + spread * random.nextFloat());
}
