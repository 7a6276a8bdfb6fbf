/** Estimates how late messages arrive without comparing clocks. */

/**
 * Time after which a shortest transit is replaced. The clocks of two machines
 * drift apart, by some seconds a day.
 */
const SPAN_MS = 30_000;

/**
 * Compares the transit of each message with the shortest one of the last 30 to
 * 60 s. Clocks with a constant offset cancel out.
 */
export class Lateness {
  #formerShortestMs = Infinity;
  #shortestMs = Infinity;
  #startedAtMs = -Infinity;

  /**
   * Records a message.
   *
   * @param sentAtMs Time on the clock of the sender, in ms.
   * @param receivedAtMs Time on the own clock, in ms.
   * @returns Time by which the message took longer than the fastest one, in ms.
   */
  record(sentAtMs: number, receivedAtMs: number): number {
    if (receivedAtMs - this.#startedAtMs > SPAN_MS) {
      this.#startedAtMs = receivedAtMs;
      this.#formerShortestMs = this.#shortestMs;
      this.#shortestMs = Infinity;
    }
    const differenceMs = receivedAtMs - sentAtMs;
    this.#shortestMs = Math.min(this.#shortestMs, differenceMs);
    return differenceMs - Math.min(this.#shortestMs, this.#formerShortestMs);
  }
}
