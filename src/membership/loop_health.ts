/** Detects pauses of this daemon's process, in which no event was handled. */

/** Options of {@link LoopHealth}. */
export type LoopHealthOptions = {
  /** Period of the ticks, in ms. */
  tickMs: number;
  /** Lateness beyond which unanswered probes do not count as misses, in ms. */
  toleranceMs: number;
};

/**
 * Tracks the lateness of this daemon's event loop. A daemon that was frozen or
 * overloaded must not suspect others, because their answers waited in its own
 * process. Lifeguard, an extension of SWIM, calls this local health.
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
   * Measures the time since the last call, to detect a pause. Must be called
   * before each event is handled, because queued answers and timeouts are
   * handled before the late tick.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Length of the pause in ms when the loop was late, otherwise 0.
   */
  measurePause(nowMs: number): number {
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
   * Whether the loop was late after a probe was sent.
   *
   * @param sentMs Monotonic time at which the probe was sent, in ms.
   * @returns True when a timeout of the probe is no evidence of a failure.
   */
  wasLateSince(sentMs: number): boolean {
    return sentMs <= this.#lateUntilMs;
  }
}
