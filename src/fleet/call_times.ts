/** Time that a request spends in its downstream calls. */

/** Total time during which at least one call is open. */
export class CallTimes {
  #openCount = 0;
  #openedAtMs = 0;
  #totalMs = 0;

  /**
   * Records the start of a call.
   *
   * @param nowMs Monotonic time, in ms.
   */
  start(nowMs: number): void {
    if (this.#openCount === 0) {
      this.#openedAtMs = nowMs;
    }
    this.#openCount++;
  }

  /**
   * Records the end of a call that was started.
   *
   * @param nowMs Monotonic time, in ms.
   */
  end(nowMs: number): void {
    this.#openCount--;
    if (this.#openCount === 0) {
      this.#totalMs += nowMs - this.#openedAtMs;
    }
  }

  /**
   * Returns the time so far.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Time with at least one open call, in ms.
   */
  totalMs(nowMs: number): number {
    return this.#openCount > 0
      ? this.#totalMs + nowMs - this.#openedAtMs
      : this.#totalMs;
  }
}
