/** Measures how long messages wait between two processes. */

/**
 * Time for which a message counts as a sample of the fastest ones. The clocks of
 * two machines drift apart by less than a millisecond in it.
 */
const WINDOW_MS = 5_000;

/**
 * Compares the clocks of the two ends of a connection by the messages that took
 * least (one-way delay variation). What a message took beyond that, it has
 * waited: in the queue of its sender, on the way, or unread.
 *
 * @example
 * const delayMs = delay.measure(sentAtMs, { nowMs, isBehind: false });
 */
export class MessageDelay {
  #windowStartedAtMs = -Infinity;
  /**
   * Least difference between the clock of the receiver at the arrival and that of
   * the sender at the start, in this window and in the one before it.
   */
  #leastMs = Infinity;
  #lastLeastMs = Infinity;

  /**
   * Measures the delay of a message.
   *
   * @param sentAtMs Monotonic time of the sender, in ms.
   * @param receiver Monotonic time of the receiver in ms, and whether it is behind
   *   with its input.
   * @returns Time that the message has waited for at least, in ms; undefined while
   *   none has been received without a wait.
   */
  measure(
    sentAtMs: number,
    { nowMs, isBehind }: { nowMs: number; isBehind: boolean },
  ): number | undefined {
    this.#startWindow(nowMs);
    const differenceMs = nowMs - sentAtMs;
    const leastMs = Math.min(this.#leastMs, this.#lastLeastMs);
    if (isBehind && leastMs === Infinity) {
      return undefined;
    }
    this.#leastMs = Math.min(this.#leastMs, differenceMs);
    return leastMs === Infinity ? 0 : Math.max(0, differenceMs - leastMs);
  }

  #startWindow(nowMs: number): void {
    const ageMs = nowMs - this.#windowStartedAtMs;
    if (ageMs < WINDOW_MS) {
      return;
    }
    this.#windowStartedAtMs = nowMs;
    this.#lastLeastMs = ageMs < 2 * WINDOW_MS ? this.#leastMs : Infinity;
    this.#leastMs = Infinity;
  }
}
