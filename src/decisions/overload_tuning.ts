/** Constants of the overload policy that `overloadPreference` scales. */

/** Interval at which the admission level is adjusted. */
export const CONTROL_INTERVAL_MS = 100;

const DELAY_TARGET_MS = 20;
const LEVEL_RISE_MIN_COUNT = 16;
const LEVEL_RISE_SPAN_COUNT = 16;
const QUEUE_AGE_MIN_RATIO = 0.25;

/** Figures of the policy at one value of the preference. */
export type OverloadTuning = {
  /** Standing delay above which the upstream counts as overloaded, in ms. */
  readonly delayTargetMs: number;
  /** Longest wait in the queue, in ms. */
  readonly queueAgeMaxMs: number;
  /** Ranks by which the level rises at most per control interval. */
  readonly levelRiseMaxCount: number;
};

/**
 * Scales the policy between goodput and recovery. At 0 the delay target is
 * four times 20 ms and waits may take the pool's whole age limit; at 1 the target
 * is a quarter of 20 ms and waits are a quarter as long.
 *
 * @param overloadPreference 0 prefers goodput, 1 prefers recovery.
 * @param queueAgeMaxMs Longest wait that the pool allows, in ms.
 * @returns Scaled figures.
 *
 * @example
 * tuneOverload(0.5, 500).delayTargetMs; // 20
 */
export function tuneOverload(
  overloadPreference: number,
  queueAgeMaxMs: number,
): OverloadTuning {
  const ageRatio = 1 - overloadPreference * (1 - QUEUE_AGE_MIN_RATIO);
  return {
    delayTargetMs: DELAY_TARGET_MS * 4 ** (1 - 2 * overloadPreference),
    queueAgeMaxMs: queueAgeMaxMs * ageRatio,
    levelRiseMaxCount: Math.round(
      LEVEL_RISE_MIN_COUNT + LEVEL_RISE_SPAN_COUNT * overloadPreference,
    ),
  };
}
