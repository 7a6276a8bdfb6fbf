/** Refuses requests in the calling daemon that the whole pool would refuse. */
import type { RandomSource } from "../../core/random.ts";

/** One of this many refused requests is sent as a probe, to detect recovery. */
const PROBE_ONE_IN_COUNT = 100;

/** Refuses requests by the levels that the upstreams of a pool report. */
export class PoolGate {
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
   * @param levelRanks Level that each usable endpoint reported.
   * @returns True when every endpoint would refuse the request, unless it is
   * sent as a probe.
   */
  refuses(rank: number, levelRanks: readonly number[]): boolean {
    return levelRanks.every((levelRank) => rank >= levelRank) &&
      this.#random.nextInt(PROBE_ONE_IN_COUNT) !== 0;
  }
}
