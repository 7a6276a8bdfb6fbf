/** Scheduler of simulations that run on a virtual clock. */

const TICK_MS = 10;

/**
 * Runs actions in order of virtual time, in steps of 10 ms.
 *
 * @example
 * scheduler.after(500, () => attempt());
 * scheduler.run(10_000);
 */
export class VirtualTimeScheduler {
  readonly #buckets = new Map<number, (() => void)[]>();
  #tick = 0;

  /** Virtual time since the start, in ms. */
  get nowMs(): number {
    return this.#tick * TICK_MS;
  }

  /**
   * Schedules an action.
   *
   * @param delayMs Delay in ms, rounded to steps of 10 ms; at least one step.
   * @param action Action to run.
   */
  after(delayMs: number, action: () => void): void {
    const tick = this.#tick + Math.max(1, Math.round(delayMs / TICK_MS));
    const bucket = this.#buckets.get(tick) ?? [];
    bucket.push(action);
    this.#buckets.set(tick, bucket);
  }

  /**
   * Runs all actions up to a time.
   *
   * @param untilMs End, in ms since the start.
   */
  run(untilMs: number): void {
    while (this.nowMs < untilMs) {
      this.#tick++;
      const actions = this.#buckets.get(this.#tick) ?? [];
      this.#buckets.delete(this.#tick);
      actions.forEach((action) => action());
    }
  }
}
