/** Parameters of the overload policy, scaled by `overloadPreference`. */

import { IMPORTANCE_CLASSES } from "../../schemas/common_schema.ts";

/** Interval at which the admission level is adjusted, in ms. */
export const CONTROL_INTERVAL_MS = 100;

const DELAY_TARGET_MS = 20;
const LEVEL_RISE_MIN_COUNT = 16;
const LEVEL_RISE_SPAN_COUNT = 16;
const QUEUE_AGE_MIN_RATIO = 0.25;
/**
 * Age limit of critical requests relative to other classes. Critical requests
 * wait only for running ones, but with few slots a series of slow requests can
 * take longer than the age limit of the other classes.
 */
const CRITICAL_AGE_FACTOR = 3;
const OTHER_CLASSES = IMPORTANCE_CLASSES.slice(1);

/** Parameters of the policy at one value of the preference. */
export type OverloadTuning = {
  /** Delay of the standing queue above which there is overload, in ms. */
  readonly delayTargetMs: number;
  /** Longest wait in the queue of each class, in ms. */
  readonly queueAgesMaxMs: readonly number[];
  /**
   * Wait of critical requests above which the least important of them are shed,
   * in ms.
   */
  readonly criticalStandingMaxMs: number;
  /** Largest rise of the level per control interval, in offered ranks. */
  readonly levelRiseMaxCount: number;
};

/**
 * Scales the parameters between most goodput and fastest recovery. At 0 the
 * delay target is 80 ms and waits may take the whole age limit of the pool; at 1
 * the target is 5 ms and waits are a quarter as long. Critical requests may wait
 * three times as long as others.
 *
 * @param overloadPreference 0 prefers goodput, 1 prefers recovery.
 * @param queueAgeMaxMs Longest wait that the pool allows, in ms.
 * @returns Scaled parameters.
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
    queueAgesMaxMs: [
      queueAgeMaxMs * CRITICAL_AGE_FACTOR * ageRatio,
      ...OTHER_CLASSES.map(() => queueAgeMaxMs * ageRatio),
    ],
    criticalStandingMaxMs: queueAgeMaxMs * CRITICAL_AGE_FACTOR * ageRatio / 2,
    levelRiseMaxCount: Math.round(
      LEVEL_RISE_MIN_COUNT + LEVEL_RISE_SPAN_COUNT * overloadPreference,
    ),
  };
}
