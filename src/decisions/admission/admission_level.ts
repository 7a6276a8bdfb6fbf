/** Adapts the admission level of one upstream to its queueing delay. */
import { RANKS_COUNT } from "./importance.ts";
import type { OverloadTuning } from "./overload_tuning.ts";
import { RankHistogram } from "./rank_histogram.ts";

/** Intervals over which the queue in excess of the delay target drains. */
const DRAIN_INTERVALS_COUNT = 10;
const ADMITTED_MIN_RATIO = 0.8;
const RISE_MAX_RATIO = 1.5;
/** Share of free slots below which the upstream counts as fully used. */
const FREE_MIN_RATIO = 0.02;

/** Measurements of one control interval. */
export type LevelObservation = {
  /** Queueing delay at the shortest queue of the interval, in ms. */
  readonly standingDelayMs: number;
  /** Length of the shortest queue of the interval. */
  readonly standingCount: number;
  /** Requests that the upstream serves per interval with all slots in use. */
  readonly servedCount: number;
  /**
   * Lowest rank of the most important class that waits too long; the level does
   * not fall below it. The queue is ordered by class, so shedding a more
   * important class would shorten no wait.
   */
  readonly waitingFromRank: number;
  /** Average share of the limit that was free. */
  readonly freeRatio: number;
};

/**
 * Adjusts the level by the distribution of offered ranks. While the queueing
 * delay exceeds the target, the level falls until it admits about as many
 * requests as the upstream serves. While slots are free and nothing waits, it
 * rises in proportion to the share of free slots.
 */
export class AdmissionLevel {
  #tuning: OverloadTuning;
  readonly #histogram = new RankHistogram();
  #levelRank = RANKS_COUNT;

  /**
   * @param tuning Parameters scaled by the overload preference.
   */
  constructor(tuning: OverloadTuning) {
    this.#tuning = tuning;
  }

  /** Requests with a lower rank are admitted. */
  get levelRank(): number {
    return this.#levelRank;
  }

  /**
   * Replaces the tuning.
   *
   * @param tuning Parameters scaled by the overload preference.
   */
  retune(tuning: OverloadTuning): void {
    this.#tuning = tuning;
  }

  /**
   * Counts an offered request, admitted or not.
   *
   * @param rank Rank in `[0, 512)`.
   */
  observe(rank: number): void {
    this.#histogram.observe(rank);
  }

  /**
   * Ends a control interval and moves the level.
   *
   * @param measured Measurements of the interval.
   */
  adjust(measured: LevelObservation): void {
    this.#histogram.endInterval(this.#levelRank);
    if (measured.standingDelayMs > this.#tuning.delayTargetMs) {
      this.#lower(this.#drainingCount(measured), measured.waitingFromRank);
      return;
    }
    if (measured.freeRatio > FREE_MIN_RATIO && measured.standingCount === 0) {
      this.#raise(measured.freeRatio);
    }
  }

  /** Requests to admit per interval so that the queue falls to the target. */
  #drainingCount(measured: LevelObservation): number {
    const allowedRatio = this.#tuning.delayTargetMs / measured.standingDelayMs;
    const excess = measured.standingCount * (1 - allowedRatio);
    return Math.max(
      measured.servedCount * ADMITTED_MIN_RATIO,
      measured.servedCount - excess / DRAIN_INTERVALS_COUNT,
    );
  }

  #lower(wantedCount: number, lowestRank: number): void {
    const wanted = this.#histogram.levelFor(Math.max(wantedCount, 0.01));
    const lower = Math.min(this.#levelRank - 1, wanted);
    const lowest = Math.min(this.#levelRank, Math.max(1, lowestRank));
    this.#levelRank = Math.max(lowest, lower);
  }

  #raise(freeRatio: number): void {
    const admitted = this.#histogram.admittedBelow(this.#levelRank);
    const factor = Math.min(RISE_MAX_RATIO, 1 / (1 - freeRatio));
    const wanted = this.#histogram.levelFor(admitted * factor + 0.01);
    const highest = this.#histogram.levelAbove(
      this.#levelRank,
      this.#tuning.levelRiseMaxCount,
    );
    this.#levelRank = Math.min(
      RANKS_COUNT,
      highest,
      Math.max(this.#levelRank + 1, wanted),
    );
  }
}
