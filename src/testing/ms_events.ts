/** Events on a virtual clock with a resolution of 1 ms. */

/** Calls functions in the order of their times. */
export class MsEvents {
  readonly #events = new Map<number, (() => void)[]>();
  /** Virtual time, in ms from the start. */
  nowMs = 0;

  /**
   * Calls a function at a time in the future.
   *
   * @param atMs Virtual time, in ms; rounded up.
   * @param action The function.
   */
  at(atMs: number, action: () => void): void {
    const dueMs = Math.max(Math.ceil(atMs), this.nowMs + 1);
    const list = this.#events.get(dueMs);
    if (list === undefined) {
      this.#events.set(dueMs, [action]);
    } else {
      list.push(action);
    }
  }

  /**
   * Advances the time.
   *
   * @param untilMs Virtual time until which events are run, in ms.
   */
  run(untilMs: number): void {
    while (this.nowMs < untilMs) {
      this.nowMs++;
      const actions = this.#events.get(this.nowMs);
      this.#events.delete(this.nowMs);
      actions?.forEach((action) => action());
    }
  }
}
