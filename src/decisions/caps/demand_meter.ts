/** Measures the recent demand of a tenant at one daemon. */

const MS_PER_S = 1_000;
/** Time constant of the average. */
const AVERAGE_MS = 500;

/** Exponentially weighted rate of requests. */
export class DemandMeter {
  #ratePerS = 0;
  #updatedAtMs = -Infinity;

  /**
   * Counts a request.
   *
   * @param nowMs Monotonic time, in ms.
   */
  record(nowMs: number): void {
    this.#ratePerS = this.ratePerS(nowMs) + MS_PER_S / AVERAGE_MS;
    this.#updatedAtMs = nowMs;
  }

  /**
   * Returns the recent demand.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Requests per second.
   */
  ratePerS(nowMs: number): number {
    const passedMs = nowMs - this.#updatedAtMs;
    return this.#ratePerS * Math.exp(-passedMs / AVERAGE_MS);
  }
}
