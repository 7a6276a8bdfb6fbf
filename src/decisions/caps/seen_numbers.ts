/** Recognises duplicates among numbered messages. */

/** Numbers below the highest one that are still told apart. */
const SPAN_COUNT = 64;

/** Remembers the highest number and which of those just below it were seen. */
export class SeenNumbers {
  readonly #recent = new Set<number>();
  /** Highest number so far; 0 before the first. */
  highest = 0;

  /**
   * Records a number.
   *
   * @param number Number of a message, from 1.
   * @returns False for a duplicate, and for a message that was overtaken by so
   *   many others that it can no longer be told.
   */
  add(number: number): boolean {
    if (number <= this.highest - SPAN_COUNT || this.#recent.has(number)) {
      return false;
    }
    this.#recent.add(number);
    if (number > this.highest) {
      this.highest = number;
      this.#forget();
    }
    return true;
  }

  #forget(): void {
    for (const number of this.#recent) {
      if (number <= this.highest - SPAN_COUNT) {
        this.#recent.delete(number);
      }
    }
  }
}
