/**
 * Admission levels of the pools, from their load and the offered requests. A
 * run is one execution of a request by an upstream.
 */
import { MovingAverage } from "./moving_average.ts";

/** Load of a pool and the runs that this daemon's callers offer to it. */
export type PoolLoad = {
  /** Running and waiting requests per slot; over 1 when requests wait. */
  readonly busyRatio: number;
  /**
   * Offered runs per priority class, most important first, as counts or as
   * rates; only their ratios matter.
   */
  readonly offered: readonly number[];
};

/** Target share of busy slots. */
const BUSY_TARGET_RATIO = 0.97;
/**
 * Weight of the newest level in the mean level to which the load is attributed.
 * A request makes calls for about one second; the mean covers two seconds, so
 * that the level does not oscillate.
 */
const LEVEL_WEIGHT = 0.05;
/**
 * Gain of the decrease, per waiting request per slot. A smaller gain leaves the
 * queues full for seconds after a burst; a larger gain makes the level
 * oscillate.
 */
const WAITING_GAIN = 0.4;
const CORRECTION_MIN = 0.5;
/** Largest factor near the target, where noise would cause an overshoot. */
const CORRECTION_MAX = 1.15;
/** Busy ratio below which the level may rise faster, to recover in time. */
const RECOVERY_RATIO = 0.7;
const RECOVERY_CORRECTION_MAX = 1.6;
/**
 * Increase of the level while it admits none of the offered runs, because no
 * factor raises 0 runs.
 */
const IDLE_INCREASE = 0.1;

/** Ratio of the runs for the target load to the runs that caused the load. */
function correctionFor(busyRatio: number): number {
  if (busyRatio > 1) {
    const factor = BUSY_TARGET_RATIO / (1 + WAITING_GAIN * (busyRatio - 1));
    return Math.max(CORRECTION_MIN, factor);
  }
  const max = busyRatio < RECOVERY_RATIO
    ? RECOVERY_CORRECTION_MAX
    : CORRECTION_MAX;
  return Math.min(max, BUSY_TARGET_RATIO / Math.max(busyRatio, 0.01));
}

/** Number of the offered runs that a level admits. */
function admittedRuns(level: number, offered: readonly number[]): number {
  return offered.reduce(
    (sum, runs, priority) =>
      sum + runs * Math.min(1, Math.max(0, level - priority)),
    0,
  );
}

/** Level that admits a given number of the offered runs. */
function levelFor(runs: number, offered: readonly number[]): number {
  let left = runs;
  for (let priority = 0; priority < offered.length; priority++) {
    const classRuns = offered[priority] as number;
    if (left < classRuns) {
      return priority + left / classRuns;
    }
    left -= classRuns;
  }
  return offered.length;
}

/**
 * Keeps one level per pool: the number of classes, counted from the most
 * important one, that are admitted. The recently admitted runs are scaled by
 * the ratio of target to load, so that the level settles without oscillation
 * although the load lags behind the admission.
 *
 * @example
 * levels.step("plates", { busyRatio: 1.4, offered: [10, 4, 30] });
 * levels.level("plates"); // less than 3
 */
export class EntryLevels {
  readonly #means = new Map<string, MovingAverage>();
  readonly #levels = new Map<string, number>();
  readonly #sheddingPools = new Set<string>();

  /**
   * Adjusts the level of a pool; called once per control interval of 100 ms.
   *
   * @param pool Name of the pool.
   * @param load Load and offered runs.
   * @returns The new level.
   */
  step(pool: string, { busyRatio, offered }: PoolLoad): number {
    const classesCount = offered.length;
    const mean = this.#meanOf(pool, classesCount);
    const runs = admittedRuns(mean.value, offered);
    const level = runs === 0
      ? Math.min(classesCount, mean.value + IDLE_INCREASE)
      : levelFor(runs * correctionFor(busyRatio), offered);
    mean.add(level);
    this.#levels.set(pool, level);
    if (level < classesCount) {
      this.#sheddingPools.add(pool);
    } else {
      this.#sheddingPools.delete(pool);
    }
    return level;
  }

  /**
   * Returns the level of a pool.
   *
   * @param pool Name of the pool.
   * @returns Number of admitted classes; undefined before the first step.
   */
  level(pool: string): number | undefined {
    return this.#levels.get(pool);
  }

  /**
   * Returns whether a pool admits only a part of the offered requests.
   *
   * @param pool Name of the pool.
   * @returns True when its level is below the number of classes.
   */
  isShedding(pool: string): boolean {
    return this.#sheddingPools.has(pool);
  }

  #meanOf(pool: string, classesCount: number): MovingAverage {
    let mean = this.#means.get(pool);
    if (mean === undefined) {
      mean = new MovingAverage(LEVEL_WEIGHT, classesCount);
      this.#means.set(pool, mean);
    }
    return mean;
  }
}
