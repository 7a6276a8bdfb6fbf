/** Distribution of the ranks of offered requests. */
import { RANKS_COUNT } from "./importance.ts";

/** Weight of the newest interval; about ten intervals are averaged. */
const NEWEST_WEIGHT = 0.2;
/**
 * Decay per interval of the density of ranks above the level, over about 5 s.
 * Calling daemons refuse these ranks, so they are hardly offered.
 */
const UNSEEN_DECAY_RATIO = 0.98;

/** Density below which a rank counts as not offered. */
const DENSITY_MIN = 1e-6;

/** Offered requests per rank and control interval, smoothed. */
export class RankHistogram {
  readonly #offered = new Uint32Array(RANKS_COUNT);
  readonly #density = new Float64Array(RANKS_COUNT);

  /**
   * Counts an offered request.
   *
   * @param rank Rank in `[0, 512)`.
   */
  observe(rank: number): void {
    this.#offered[rank] = (this.#offered[rank] ?? 0) + 1;
  }

  /**
   * Ends a control interval.
   *
   * @param levelRank Level that was in force; higher ranks were hardly offered.
   */
  endInterval(levelRank: number): void {
    for (let rank = 0; rank < RANKS_COUNT; rank++) {
      const offered = this.#offered[rank] as number;
      const density = this.#density[rank] as number;
      const unseen = rank >= levelRank && offered < density;
      this.#density[rank] = unseen
        ? density * UNSEEN_DECAY_RATIO
        : density + NEWEST_WEIGHT * (offered - density);
    }
    this.#offered.fill(0);
  }

  /**
   * Finds the level at which a number of requests is admitted per interval.
   *
   * @param wantedCount Requests to admit per interval.
   * @returns Lowest level that admits at least that many, at most 512.
   */
  levelFor(wantedCount: number): number {
    let admitted = 0;
    for (let rank = 0; rank < RANKS_COUNT; rank++) {
      admitted += this.#density[rank] as number;
      if (admitted >= wantedCount) {
        return rank + 1;
      }
    }
    return RANKS_COUNT;
  }

  /**
   * Computes the level that is higher by a number of offered ranks. Ranks
   * without requests are skipped, because they admit nothing.
   *
   * @param levelRank Level to start from.
   * @param ranksCount Offered ranks by which the level rises.
   * @returns Level, at most 512.
   */
  levelAbove(levelRank: number, ranksCount: number): number {
    let left = ranksCount;
    for (let rank = levelRank; rank < RANKS_COUNT; rank++) {
      left -= (this.#density[rank] as number) > DENSITY_MIN ? 1 : 0;
      if (left < 0) {
        return rank;
      }
    }
    return RANKS_COUNT;
  }

  /**
   * Sums the offered requests that a level admits per interval.
   *
   * @param levelRank Level whose admitted requests are summed.
   * @returns Smoothed number of requests.
   */
  admittedBelow(levelRank: number): number {
    let admitted = 0;
    for (let rank = 0; rank < levelRank; rank++) {
      admitted += this.#density[rank] as number;
    }
    return admitted;
  }
}
