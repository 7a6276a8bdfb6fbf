/** Admission levels per route, derived from refusals of downstream services. */
import { RANKS_COUNT } from "./importance.ts";

/** Largest accepted share of downstream refusals below the level of a route. */
const REFUSED_MAX_RATIO = 0.05;
/** Decay of the counts per control interval, over about 0.25 s. */
const DECAY_RATIO = 0.6;
const ENDED_MIN_COUNT = 5;
const RISE_FIRST_COUNT = 2;
const RISE_MAX_COUNT = 64;

/** Level of one route. */
class DownstreamLevel {
  readonly #ended = new Float64Array(RANKS_COUNT);
  readonly #refused = new Float64Array(RANKS_COUNT);
  #riseCount = RISE_FIRST_COUNT;
  levelRank = RANKS_COUNT;

  record(rank: number, refused: boolean): void {
    this.#ended[rank]! += 1;
    this.#refused[rank]! += refused ? 1 : 0;
  }

  endInterval(): void {
    const highest = this.#highestLevel();
    if (highest < this.levelRank) {
      this.levelRank = Math.max(1, highest);
      this.#riseCount = RISE_FIRST_COUNT;
    } else {
      this.levelRank = Math.min(RANKS_COUNT, this.levelRank + this.#riseCount);
      this.#riseCount = Math.min(RISE_MAX_COUNT, this.#riseCount * 2);
    }
    for (let rank = 0; rank < RANKS_COUNT; rank++) {
      this.#ended[rank]! *= DECAY_RATIO;
      this.#refused[rank]! *= DECAY_RATIO;
    }
  }

  /** Highest level below which the share of refused requests is acceptable. */
  #highestLevel(): number {
    let ended = 0;
    let refused = 0;
    let highest = 0;
    for (let rank = 0; rank < this.levelRank; rank++) {
      ended += this.#ended[rank] as number;
      refused += this.#refused[rank] as number;
      if (refused <= ended * REFUSED_MAX_RATIO) {
        highest = rank + 1;
      }
    }
    return ended < ENDED_MIN_COUNT ? this.levelRank : highest;
  }
}

/**
 * Refuses requests that a downstream service would refuse, so that the upstream
 * spends no work on them. All hops shed in the same order of ranks, so the
 * level of a route is the rank from which its requests are refused downstream.
 *
 * @example
 * levels.record("enrol", { rank: 300, refused: true });
 * levels.admits("enrol", 300);
 */
export class DownstreamLevels {
  readonly #levels = new Map<string, DownstreamLevel>();

  /**
   * Records the end of a request that ran.
   *
   * @param route Route of the request.
   * @param ended Rank, and whether downstream overload made the request fail.
   */
  record(
    route: string,
    ended: { readonly rank: number; readonly refused: boolean },
  ): void {
    let level = this.#levels.get(route);
    if (level === undefined && ended.refused) {
      level = new DownstreamLevel();
      this.#levels.set(route, level);
    }
    level?.record(ended.rank, ended.refused);
  }

  /**
   * Decides on a request.
   *
   * @param route Route of the request.
   * @param rank Rank with depth applied.
   * @returns False when a downstream service would refuse the request.
   */
  admits(route: string, rank: number): boolean {
    const level = this.#levels.get(route);
    return level === undefined || rank < level.levelRank;
  }

  /** Ends a control interval. */
  endInterval(): void {
    for (const level of this.#levels.values()) {
      level.endInterval();
    }
  }
}
