/** Refuses requests at the caller that the whole pool would refuse. */
import type { RandomSource } from "../core/random.ts";

/** One of this many refused requests is sent as a probe, to detect recovery. */
const PROBE_ONE_IN_COUNT = 100;

/** Refuses requests by the levels that the upstreams of a pool report. */
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
   * @returns True when every endpoint would refuse it and it is not a probe.
   */
  refuses(rank: number, levelRanks: readonly number[]): boolean {
    return levelRanks.every((levelRank) => rank >= levelRank) &&
      this.#random.nextInt(PROBE_ONE_IN_COUNT) !== 0;
  }
}
