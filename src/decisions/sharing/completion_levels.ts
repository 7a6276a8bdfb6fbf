/**
 * Admission to pools whose upstreams refuse a share of what arrives. Answers
 * this load: all upstreams of a pool that requests call several times shed a
 * fixed share of their arrivals, so that nearly every request loses one of its
 * calls after the others have run.
 */
import {
  admissionFor,
  isAdmitted,
  type PoolAdmission,
} from "./entry_levels.ts";

/** What a pool refuses, and what callers may send again. */
export type PoolRefusals = {
  /** Share of the arrivals that the upstreams of the pool refuse as not run. */
  readonly refusedRatio: number;
  /** Retries per request of the pool that the daemons may send. */
  readonly retryRatio: number;
};

/**
 * Share of refused arrivals up to which nothing is limited: a few refusals are
 * retried within the budget for any request.
 */
export const REFUSED_MIN_RATIO = 0.15;

/**
 * Runs of a request up to which it counts as one with a single run. Known calls
 * are means of recent requests.
 */
export const SINGLE_RUN_MAX = 1.5;

/**
 * Returns the share of the offered runs whose refused arrivals can all be
 * retried. A run that is refused with the probability `r` takes `r / (1 - r)`
 * retries in the mean.
 *
 * @param refusals Refused share and retries per request.
 * @returns Share in `(0, 1]`, 1 if nothing needs to be limited.
 *
 * @example
 * completableRatio({ refusedRatio: 0.5, retryRatio: 0.2 }); // 0.2
 */
export function completableRatio(
  { refusedRatio, retryRatio }: PoolRefusals,
): number {
  if (refusedRatio < REFUSED_MIN_RATIO) {
    return 1;
  }
  return Math.min(1, retryRatio * (1 - refusedRatio) / refusedRatio);
}

/**
 * Limits the requests that need several runs at a refusing pool to those that
 * retries can complete, the most important ones first. A request that needs one
 * run is not limited: if it is refused, it has not run, and nothing is lost.
 *
 * @example
 * levels.step("plates", { refusedRatio: 0.5, retryRatio: 0.2, offered });
 * levels.admits("plates", { priority: 2, sample: 0.3, runs: 8 });
 */
export class CompletionLevels {
  readonly #admissions = new Map<string, PoolAdmission>();

  /**
   * Adjusts the admission of a pool; called once per control interval.
   *
   * @param name Name of the pool.
   * @param pool Its refusals, and the runs per priority class that requests with
   *   several runs offer.
   */
  step(
    name: string,
    { offered, ...refusals }: PoolRefusals & { offered: readonly number[] },
  ): void {
    const ratio = completableRatio(refusals);
    if (ratio === 1) {
      this.#admissions.delete(name);
      return;
    }
    // Without recent requests nothing is known of their classes.
    const hasOffers = offered.some((runs) => runs > 0);
    this.#admissions.set(
      name,
      hasOffers
        ? admissionFor(ratio, offered)
        : { level: 0, sharedRatio: ratio },
    );
  }

  /**
   * Decides whether a pool admits a request.
   *
   * @param name Name of the pool.
   * @param request Its class, a random number in `[0, 1)` that is the same for
   *   all pools, and its runs at the pool.
   * @returns True when it is admitted.
   */
  admits(
    name: string,
    { runs, ...request }: { priority: number; sample: number; runs: number },
  ): boolean {
    const admission = this.#admissions.get(name);
    return admission === undefined || runs <= SINGLE_RUN_MAX ||
      isAdmitted(admission, request);
  }

  /**
   * Returns whether a pool is limited.
   *
   * @param name Name of the pool.
   * @returns True while its upstreams refuse more than retries make up for.
   */
  isLimited(name: string): boolean {
    return this.#admissions.has(name);
  }
}
