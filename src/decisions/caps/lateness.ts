/** Estimates how late messages arrive without comparing clocks. */

/**
 * Compares the transit of each message with the shortest one so far. Clocks with
 * a constant offset cancel out.
 */
export class Lateness {
  #shortestMs = Infinity;

  /**
   * Records a message.
   *
   * @param sentAtMs Time on the clock of the sender, in ms.
   * @param receivedAtMs Time on the own clock, in ms.
   * @returns Time by which the message took longer than the fastest one, in ms.
   */
  record(sentAtMs: number, receivedAtMs: number): number {
    const differenceMs = receivedAtMs - sentAtMs;
    this.#shortestMs = Math.min(this.#shortestMs, differenceMs);
    return differenceMs - this.#shortestMs;
  }
}
