/** Estimates of service times and of the rate of completions. */

const NEWEST_WEIGHT = 0.1;
const RATE_NEWEST_WEIGHT = 0.2;

type Estimate = { meanMs: number; deviationMs: number };

function updateEstimate(
  estimate: Estimate | undefined,
  latencyMs: number,
): Estimate {
  if (estimate === undefined) {
    return { meanMs: latencyMs, deviationMs: latencyMs / 4 };
  }
  const difference = latencyMs - estimate.meanMs;
  return {
    meanMs: estimate.meanMs + NEWEST_WEIGHT * difference,
    deviationMs: estimate.deviationMs +
      NEWEST_WEIGHT * (Math.abs(difference) - estimate.deviationMs),
  };
}

/**
 * Mean service times per route and the smoothed rate of completions.
 *
 * @example
 * estimates.record("enrol", 120);
 * estimates.meanMs("enrol"); // 120
 */
export class ServiceEstimates {
  readonly #byRoute = new Map<string, Estimate>();
  #endedCount = 0;
  #ratePerMs = 0;

  /** Requests that ended per ms, smoothed; 0 until some have ended. */
  get ratePerMs(): number {
    return this.#ratePerMs;
  }

  /** Counts a request that ended in any way and released its slot. */
  recordEnd(): void {
    this.#endedCount++;
  }

  /**
   * Adds the service time of a completed request to a mean.
   *
   * @param route Route of the request; "" for the mean over all routes.
   * @param latencyMs Time from start to end, in ms.
   */
  record(route: string, latencyMs: number): void {
    this.#byRoute.set(
      route,
      updateEstimate(this.#byRoute.get(route), latencyMs),
    );
  }

  /**
   * Returns the mean service time of a route.
   *
   * @param route Route of the request; "" for the mean over all routes.
   * @returns Time in ms; 0 before the first request of the route.
   */
  meanMs(route: string): number {
    return this.#byRoute.get(route)?.meanMs ?? 0;
  }

  /**
   * Ends a control interval.
   *
   * @param elapsedMs Length of the interval, in ms.
   */
  endInterval(elapsedMs: number): void {
    const ratePerMs = this.#endedCount / elapsedMs;
    this.#endedCount = 0;
    this.#ratePerMs += RATE_NEWEST_WEIGHT * (ratePerMs - this.#ratePerMs);
  }
}
