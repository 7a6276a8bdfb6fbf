/**
 * When an upstream gets a request although another one seems better. It answers
 * upstreams that join a pool, and those that were slow: each gets requests soon,
 * and callers then know its run time.
 */
import type { RandomSource } from "../../core/random.ts";

/** Time within which a caller sends a first request to an upstream that joins. */
const JOIN_TRIAL_MAX_MS = 1_500;
/**
 * Upstreams of other data centres that are seen within this time of the first one
 * of the pool have not joined.
 */
const POOL_START_MS = 5_000;
/**
 * Requests to a pool, for each of its upstreams in the own data centre, after which
 * one of these upstreams that got none of them gets one.
 */
const SKIPPED_MAX_COUNT = 50;

/** Properties of an upstream on which its first trial depends. */
export type TrialOptions = {
  readonly random: RandomSource;
  readonly nowMs: number;
  /** Time at which the first upstream of the pool was seen, in ms. */
  readonly poolSeenAtMs: number;
  /** Whether the upstream is still slow after its start. */
  readonly isCold: boolean;
  /** Whether the upstream is in the caller's data centre. */
  readonly isOwnDataCentre: boolean;
};

/** Decides when one upstream gets a trial request of one caller. */
export class UpstreamTrial {
  #joinTrialAtMs: number;
  #skippedCount = 0;

  /**
   * @param options Random numbers, and what is known when the upstream is first
   *   seen. The random delay keeps callers from sending all at once.
   */
  constructor(
    { random, nowMs, poolSeenAtMs, isCold, isOwnDataCentre }: TrialOptions,
  ) {
    const hasJoined = isCold || nowMs - poolSeenAtMs > POOL_START_MS;
    this.#joinTrialAtMs = hasJoined
      ? nowMs + random.nextFloat() * JOIN_TRIAL_MAX_MS
      : isOwnDataCentre
      ? nowMs
      : Infinity;
  }

  /**
   * Returns whether the next request is a trial.
   *
   * @param nowMs Monotonic time, in ms.
   * @param ownCount Upstreams of the caller's data centre, if this is one of
   *   them. Bytes to other ones are priced, so only the first request is sent
   *   there; their number is then undefined.
   * @returns Whether it is due.
   */
  isDue(nowMs: number, ownCount: number | undefined): boolean {
    return nowMs >= this.#joinTrialAtMs ||
      (ownCount !== undefined &&
        this.#skippedCount >= SKIPPED_MAX_COUNT * ownCount);
  }

  /** Records that a request was sent to another upstream. */
  recordSkipped(): void {
    this.#skippedCount++;
  }

  /** Records that a request was sent to the upstream. */
  recordChosen(): void {
    this.#skippedCount = 0;
    this.#joinTrialAtMs = Infinity;
  }
}
