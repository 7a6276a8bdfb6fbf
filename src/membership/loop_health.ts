/** Notices that the own event loop was late. */

/** Longest time between two control events of a healthy daemon, in ms. */
export type LoopHealthOptions = {
  /** Period of the ticks, in ms. */
  tickMs: number;
  /** Lateness beyond which probes count no misses, in ms. */
  toleranceMs: number;
};

/**
 * Follows the lateness of the own event loop, as Lifeguard's local health does.
 * A daemon that was frozen or overloaded must not make others look dead.
 */
export class LoopHealth {
  readonly #options: LoopHealthOptions;
  #lastMs: number;
  #lateUntilMs = Number.NEGATIVE_INFINITY;

  /**
   * @param nowMs Monotonic time, in ms.
   * @param options Period of the ticks and tolerance.
   */
  constructor(nowMs: number, options: LoopHealthOptions) {
    this.#options = options;
    this.#lastMs = nowMs;
  }

  /**
   * Records that the loop runs. Called at each event, because the answers and
   * timeouts that waited are handled before the tick that is late.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Length of the pause when the loop was late, else 0.
   */
  observe(nowMs: number): number {
    const { tickMs, toleranceMs } = this.#options;
    const pauseMs = nowMs - this.#lastMs;
    this.#lastMs = nowMs;
    if (pauseMs <= tickMs + toleranceMs) {
      return 0;
    }
    this.#lateUntilMs = nowMs;
    return pauseMs;
  }

  /**
   * Tells whether a probe overlapped with a period in which the loop was late.
   *
   * @param sentMs Monotonic time at which the probe was sent, in ms.
   * @returns True when its timeout is no evidence.
   */
  wasLateSince(sentMs: number): boolean {
    return sentMs <= this.#lateUntilMs;
  }
}
