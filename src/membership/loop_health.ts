/** Detects that this daemon's event loop was late. */

/** Options of {@link LoopHealth}. */
export type LoopHealthOptions = {
  /** Period of the ticks, in ms. */
  tickMs: number;
  /** Lateness beyond which unanswered probes do not count as misses, in ms. */
  toleranceMs: number;
};

/**
 * Tracks the lateness of this daemon's event loop, like the local health of
 * Lifeguard. A daemon that was frozen or overloaded must not suspect others.
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
   * Records that the loop runs. Must be called before each event, because
   * queued answers and timeouts are handled before the late tick.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Length of the pause in ms when the loop was late, otherwise 0.
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
   * Whether a probe overlapped with a period in which the loop was late.
   *
   * @param sentMs Monotonic time at which the probe was sent, in ms.
   * @returns True when a timeout of the probe is no evidence of a failure.
   */
  wasLateSince(sentMs: number): boolean {
    return sentMs <= this.#lateUntilMs;
  }
}
