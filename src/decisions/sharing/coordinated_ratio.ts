/**
 * Share of the offered runs that a pool admits, from its capacity. Answers waves
 * and bursts: all daemons derive nearly the same share from the same figures,
 * and follow the offered load instead of the queue that it has caused.
 */
import type { PoolFigures } from "./pool_figures.ts";

/**
 * Wait that is aimed at, as a share of the shortest latency goal of the pool.
 * Without any wait, slots are idle between two runs.
 */
const WAIT_GOAL_RATIO = 0.2;
/** Time in which the difference to that wait is made up. */
const WAIT_CORRECTION_MS = 1_600;
/** Bounds of the share of the capacity that is admitted because of the wait. */
const WAIT_FACTOR_MIN = 0.4;
const WAIT_FACTOR_MAX = 1.1;
/**
 * Gain of the correction of the capacity per control interval of 100 ms, at a
 * wait that is longer than aimed at by the correction time, or at idle slots.
 */
const CAPACITY_GAIN = 0.1;
const IDLE_GAIN = 0.1;
/** Share of used slots from which on no more are idle than between two runs. */
const USED_MIN_RATIO = 0.93;
/** Bounds of the corrected capacity relative to the reported one. */
const CAPACITY_FACTOR_MIN = 0.6;
const CAPACITY_FACTOR_MAX = 1.4;
/** Smallest admitted share, so that the load of a request stays known. */
const ADMITTED_MIN_RATIO = 0.01;

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}

/**
 * Computes the admitted share of one pool. The reported capacity is corrected
 * slowly, because an upstream slows down when all of its slots are in use, and
 * because requests may cause other numbers of runs than observed.
 */
export class CoordinatedRatio {
  #capacityFactor = 1;

  /** Correction of the reported capacity. */
  get capacityFactor(): number {
    return this.#capacityFactor;
  }

  /**
   * Computes the share. Called once per control interval.
   *
   * @param figures Capacity, offered load and queues of the pool.
   * @param shortestGoalMs Shortest latency goal of the requests that use it.
   * @returns Admitted share of the offered runs, from 0.01 to 1.
   */
  step(figures: PoolFigures, shortestGoalMs: number): number {
    const { capacityPerS, offeredPerS, usedRatio, waitMs } = figures;
    const offered = offeredPerS.reduce((sum, perS) => sum + perS, 0);
    const excess = (waitMs - WAIT_GOAL_RATIO * shortestGoalMs) /
      WAIT_CORRECTION_MS;
    const waitFactor = clamp(1 - excess, WAIT_FACTOR_MIN, WAIT_FACTOR_MAX);
    const ratio = capacityPerS * this.#capacityFactor * waitFactor /
      Math.max(1, offered);
    // A pool that has room for all says nothing about its capacity.
    if (ratio < 1) {
      const idle = excess < 0 ? Math.max(0, USED_MIN_RATIO - usedRatio) : 0;
      const change = IDLE_GAIN * idle - CAPACITY_GAIN * Math.max(0, excess);
      this.#capacityFactor = clamp(
        this.#capacityFactor * (1 + change),
        CAPACITY_FACTOR_MIN,
        CAPACITY_FACTOR_MAX,
      );
    }
    return clamp(ratio, ADMITTED_MIN_RATIO, 1);
  }
}
