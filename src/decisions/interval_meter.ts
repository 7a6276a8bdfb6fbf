/** Measures the queue and the running requests of one upstream per interval. */

/** Running and waiting requests at one time. */
export type MeterState = {
  readonly inFlightCount: number;
  readonly queuedCount: number;
};

/** Measurements of one control interval. */
export type IntervalCounts = {
  /** Smallest number of waiting requests. */
  readonly standingCount: number;
  /** Mean number of running requests. */
  readonly inFlightMean: number;
};

/** Measures the shortest queue and the mean of the running requests. */
export class IntervalMeter {
  #state: MeterState = { inFlightCount: 0, queuedCount: 0 };
  #measuredMs: number | undefined;
  #inFlightMs = 0;
  #elapsedMs = 0;
  #standingCount = 0;

  /**
   * Records a change of the state.
   *
   * @param state State from now on.
   * @param nowMs Monotonic time, in ms.
   */
  record(state: MeterState, nowMs: number): void {
    this.#accumulate(nowMs);
    this.#state = state;
    this.#standingCount = Math.min(this.#standingCount, state.queuedCount);
  }

  /**
   * Ends the interval.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Measurements of the interval.
   */
  endInterval(nowMs: number): IntervalCounts {
    this.#accumulate(nowMs);
    const counts = {
      standingCount: this.#standingCount,
      inFlightMean: this.#elapsedMs === 0
        ? this.#state.inFlightCount
        : this.#inFlightMs / this.#elapsedMs,
    };
    this.#reset();
    return counts;
  }

  #accumulate(nowMs: number): void {
    const passedMs = nowMs - (this.#measuredMs ?? nowMs);
    this.#measuredMs = nowMs;
    this.#inFlightMs += this.#state.inFlightCount * passedMs;
    this.#elapsedMs += passedMs;
  }

  #reset(): void {
    this.#inFlightMs = 0;
    this.#elapsedMs = 0;
    this.#standingCount = this.#state.queuedCount;
  }
}
