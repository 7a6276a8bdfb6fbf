/** Mean and standard error of run times. */

/** Runs of a period: their own times relative to the usual ones. */
export class RunSample {
  #count = 0;
  #sum = 0;
  #squaresSum = 0;
  #runningSum = 0;

  /** Number of runs. */
  get count(): number {
    return this.#count;
  }

  /** Mean own time relative to the usual one; 0 without runs. */
  get meanRatio(): number {
    return this.#count === 0 ? 0 : this.#sum / this.#count;
  }

  /** Standard error of that mean. */
  get errorRatio(): number {
    if (this.#count < 2) {
      return Infinity;
    }
    const mean = this.meanRatio;
    const variance = Math.max(0, this.#squaresSum / this.#count - mean * mean);
    return Math.sqrt(variance / this.#count);
  }

  /** Mean number of running requests; 0 without runs. */
  get meanRunningCount(): number {
    return this.#count === 0 ? 0 : this.#runningSum / this.#count;
  }

  /**
   * Adds a run.
   *
   * @param ratio Own time relative to the usual one of the route.
   * @param runningCount Mean of the running requests at its start and end.
   */
  add(ratio: number, runningCount: number): void {
    this.#count++;
    this.#sum += ratio;
    this.#squaresSum += ratio * ratio;
    this.#runningSum += runningCount;
  }

  /** Discards all runs. */
  clear(): void {
    this.#count =
      this.#sum =
      this.#squaresSum =
      this.#runningSum =
        0;
  }
}
