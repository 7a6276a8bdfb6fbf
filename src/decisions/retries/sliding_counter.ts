/** Counts events over a sliding window. */

const BUCKETS_COUNT = 100;

/**
 * Counter over a window, in buckets of a hundredth of the window.
 *
 * @example
 * const counter = new SlidingCounter(10_000);
 * counter.add(1, nowMs);
 * counter.count(nowMs).atMost; // 1
 */
export class SlidingCounter {
  readonly #bucketMs: number;
  /** One bucket more, because the window starts within its oldest bucket. */
  readonly #buckets = new Float64Array(BUCKETS_COUNT + 1);
  #newestBucket: number | undefined;
  #sum = 0;

  /**
   * @param windowMs Length of the window, in ms.
   */
  constructor(windowMs: number) {
    this.#bucketMs = windowMs / BUCKETS_COUNT;
  }

  /**
   * Adds events that happen now.
   *
   * @param amount Number of events.
   * @param nowMs Monotonic time, in ms; earlier times count as the latest one.
   */
  add(amount: number, nowMs: number): void {
    this.#advance(nowMs);
    this.#buckets[this.#slot(this.#newestBucket as number)]! += amount;
    this.#sum += amount;
  }

  /**
   * Counts the events of the window that ends now.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Bounds of the count, because the window covers only a part of the
   * oldest bucket.
   */
  count(nowMs: number): { atLeast: number; atMost: number } {
    this.#advance(nowMs);
    const oldest = this.#slot((this.#newestBucket as number) + 1);
    return {
      atLeast: this.#sum - (this.#buckets[oldest] as number),
      atMost: this.#sum,
    };
  }

  #slot(bucket: number): number {
    return bucket % this.#buckets.length;
  }

  #advance(nowMs: number): void {
    const bucket = Math.floor(nowMs / this.#bucketMs);
    const newest = this.#newestBucket ?? bucket;
    const passed = Math.min(bucket - newest, this.#buckets.length);
    for (let step = 1; step <= passed; step++) {
      const slot = this.#slot(bucket - passed + step);
      this.#sum -= this.#buckets[slot] as number;
      this.#buckets[slot] = 0;
    }
    this.#newestBucket = Math.max(newest, bucket);
  }
}
