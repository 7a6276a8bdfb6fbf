/** Exponentially weighted moving average. */

/**
 * Mean in which the newest value has a fixed weight.
 *
 * @example
 * const mean = new MovingAverage(0.1, 20);
 * mean.add(30);
 * mean.value; // 21
 */
export class MovingAverage {
  readonly #weight: number;
  #value: number;

  /**
   * @param weight Weight of the newest value, in `(0, 1]`.
   * @param initial Value before the first one is added.
   */
  constructor(weight: number, initial: number) {
    this.#weight = weight;
    this.#value = initial;
  }

  /** Current mean. */
  get value(): number {
    return this.#value;
  }

  /**
   * Adds a value to the mean.
   *
   * @param value Newest value.
   */
  add(value: number): void {
    this.#value += (value - this.#value) * this.#weight;
  }
}
