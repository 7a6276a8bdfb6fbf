/** Refusal at the caller of what a whole pool would refuse. */
import type { RandomSource } from "../core/random.ts";

/** One of this many refused requests is let through, to learn of recovery. */
const PROBE_ONE_IN_COUNT = 100;

/** Refuses requests by the levels that the upstreams of a pool stated. */
export class EntryGate {
  readonly #random: RandomSource;

  /**
   * @param random Source of random numbers for probes.
   */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  /**
   * Decides on a request.
   *
   * @param rank Rank with depth applied.
   * @param levelRanks Level of each usable endpoint.
   * @returns True when every endpoint would refuse and it is no probe.
   */
  refuses(rank: number, levelRanks: readonly number[]): boolean {
    return levelRanks.every((levelRank) => rank >= levelRank) &&
      this.#random.nextInt(PROBE_ONE_IN_COUNT) !== 0;
  }
}
