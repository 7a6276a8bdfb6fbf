/** Share of the requests that an upstream refuses, over about a second. */

/** Time after which a result counts half. */
const HALF_LIFE_MS = 500;
/**
 * Results without a refusal that are assumed in addition, so that a few results
 * show little and old ones are forgotten.
 */
const ASSUMED_COUNT = 3;

/**
 * Counts the results of an upstream with an exponential decay. An upstream that
 * refuses for overload has short queues, so its load alone does not show it.
 *
 * @example
 * meter.record(true, nowMs);
 * meter.refusedRatio(nowMs);
 */
export class RefusalMeter {
  #resultsCount = 0;
  #refusedCount = 0;
  #updatedAtMs = 0;

  /**
   * Counts a result.
   *
   * @param isRefused Whether the upstream refused the request as not run.
   * @param nowMs Monotonic time, in ms.
   */
  record(isRefused: boolean, nowMs: number): void {
    this.#decay(nowMs);
    this.#resultsCount++;
    this.#refusedCount += isRefused ? 1 : 0;
  }

  /**
   * Returns the share of refused requests.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Share in `[0, 1)`; near 0 without recent results.
   */
  refusedRatio(nowMs: number): number {
    this.#decay(nowMs);
    return this.#refusedCount / (this.#resultsCount + ASSUMED_COUNT);
  }

  #decay(nowMs: number): void {
    const factor = 0.5 ** ((nowMs - this.#updatedAtMs) / HALF_LIFE_MS);
    this.#resultsCount *= factor;
    this.#refusedCount *= factor;
    this.#updatedAtMs = nowMs;
  }
}
