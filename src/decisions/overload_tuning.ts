/** Constants of the overload policy that `overloadPreference` scales. */

import { IMPORTANCE_CLASSES } from "../schemas/common_schema.ts";

/** Interval at which the admission level is adjusted. */
export const CONTROL_INTERVAL_MS = 100;

const DELAY_TARGET_MS = 20;
const LEVEL_RISE_MIN_COUNT = 16;
const LEVEL_RISE_SPAN_COUNT = 16;
const QUEUE_AGE_MIN_RATIO = 0.25;
/**
 * Critical requests wait behind running requests only. With few slots one slow
 * request after the other outlasted the age limit of the other classes.
 */
const CRITICAL_AGE_FACTOR = 3;
const OTHER_CLASSES = IMPORTANCE_CLASSES.slice(1);

/** Figures of the policy at one value of the preference. */
export type OverloadTuning = {
  /** Standing delay above which the upstream counts as overloaded, in ms. */
  readonly delayTargetMs: number;
  /** Longest wait in the queue of each class, in ms. */
  readonly queueAgesMaxMs: readonly number[];
  /** Wait of critical requests above which the least important are shed, in ms. */
  readonly criticalStandingMaxMs: number;
  /** Ranks by which the level rises at most per control interval. */
  readonly levelRiseMaxCount: number;
};

/**
 * Scales the policy between goodput and recovery. At 0 the delay target is
 * four times 20 ms and waits may take the pool's whole age limit; at 1 the target
 * is a quarter of 20 ms and waits are a quarter as long. Critical requests may
 * wait three times as long as others.
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
