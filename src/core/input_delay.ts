/** Measures how long received input may have waited for this process. */

/** Period of the control ticks of a daemon. */
export const CONTROL_TICK_MS = 100;
/** Delay from which the process counts as behind with its input. */
const BEHIND_MIN_MS = 100;

/** Options of {@link InputDelay}. */
export type InputDelayOptions = {
  /**
   * Reads the time for which the event loop has waited for input since the start
   * of the process, in ms.
   */
  readIdleMs: () => number;
  /** Reads the monotonic clock, in ms. */
  nowMs: () => number;
};

/**
 * Derives the delay from the idle time of the event loop: when the loop waits for
 * input, there is none. Input that is read now has therefore waited for at most
 * the time since the loop last did so. A process that is paused while it waits
 * counts the pause as idle time; the tick that is missing shows it.
 *
 * @example
 * const delay = new InputDelay(); // and delay.tick() once per control interval
 * if (delay.isBehind) { ... }
 */
export class InputDelay {
  readonly #readIdleMs: () => number;
  readonly #nowMs: () => number;
  #idleMs: number;
  #measuredAtMs: number;
  #busySinceMs: number;
  /** Infinite before the first tick, so that the start is no pause. */
  #tickedAtMs = Infinity;
  #lastLateMs = 0;
  #longestMs = 0;

  /**
   * @param options Idle time and clock; those of the process by default.
   */
  constructor(
    { readIdleMs = readLoopIdleMs, nowMs = () => performance.now() }: Partial<
      InputDelayOptions
    > = {},
  ) {
    this.#readIdleMs = readIdleMs;
    this.#nowMs = nowMs;
    this.#idleMs = readIdleMs();
    this.#measuredAtMs = nowMs();
    this.#busySinceMs = this.#measuredAtMs;
  }

  /** Whether input that is read now may have waited for long. */
  get isBehind(): boolean {
    return this.measureMs() >= BEHIND_MIN_MS;
  }

  /**
   * Measures the delay.
   *
   * @returns Longest time for which input that is read now may have waited for
   *   this process, in ms.
   */
  measureMs(): number {
    const nowMs = this.#nowMs();
    const idleMs = this.#readIdleMs();
    const idleSinceMs = idleMs - this.#idleMs;
    if (idleSinceMs > 0) {
      this.#busySinceMs = Math.min(nowMs, this.#measuredAtMs + idleSinceMs);
    }
    this.#idleMs = idleMs;
    this.#measuredAtMs = nowMs;
    const tickDueAtMs = this.#tickedAtMs + CONTROL_TICK_MS;
    if (nowMs - tickDueAtMs >= BEHIND_MIN_MS) {
      this.#busySinceMs = Math.min(this.#busySinceMs, tickDueAtMs);
    }
    const delayMs = nowMs - this.#busySinceMs;
    this.#longestMs = Math.max(this.#longestMs, delayMs);
    return delayMs;
  }

  /**
   * Measures how long the process may have been stalled: one iteration of the
   * event loop was long, or the process was paused. A process that is busy without
   * a pause, and reads its input in each short iteration, is not stalled.
   *
   * @returns Longest time for which input that is read now may have waited because
   *   of a stall, in ms; 0 without one.
   */
  measureStallMs(): number {
    this.measureMs();
    const overdueMs = this.#measuredAtMs - this.#tickedAtMs - CONTROL_TICK_MS;
    if (overdueMs >= BEHIND_MIN_MS) {
      return overdueMs;
    }
    return this.#busySinceMs <= this.#tickedAtMs ? this.#lastLateMs : 0;
  }

  /**
   * Reads the longest delay that was measured, and begins anew.
   *
   * @returns Longest delay since the last call, in ms; 0 while the process was
   *   not behind.
   */
  takeLongestMs(): number {
    const longestMs = this.#longestMs;
    this.#longestMs = 0;
    return longestMs >= BEHIND_MIN_MS ? longestMs : 0;
  }

  /**
   * Records a control tick.
   *
   * @returns Time by which the tick was late because the process was paused or
   *   busy, in ms; 0 while the process is not behind.
   */
  tick(): number {
    this.measureMs();
    const lateMs = this.#measuredAtMs - this.#tickedAtMs - CONTROL_TICK_MS;
    this.#tickedAtMs = this.#measuredAtMs;
    this.#lastLateMs = lateMs >= BEHIND_MIN_MS ? lateMs : 0;
    return this.#lastLateMs;
  }
}

function readLoopIdleMs(): number {
  return performance.eventLoopUtilization().idle;
}
