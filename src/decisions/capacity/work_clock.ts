/** Time that a machine has spent on work, without what its neighbours took. */

/** Age from which a reported slowdown is no longer used. */
const FIGURE_MAX_AGE_MS = 1_000;
/** Bounds of a plausible slowdown; others are ignored. */
const SLOWDOWN_MIN_RATIO = 0.1;
const SLOWDOWN_MAX_RATIO = 100;

/**
 * Clock that runs slower while a machine reports that work takes longer, so that
 * a difference of two readings is the time that the work takes as usual. Without
 * reports it runs like the given time.
 *
 * @example
 * clock.setSlowdown(2.5, 1_000);
 * clock.workMs(1_250) - clock.workMs(1_000); // 100
 */
export class WorkClock {
  #workMs = 0;
  #readAtMs: number | undefined;
  #slowdownRatio = 1;
  #reportedAtMs = -Infinity;

  /**
   * Records the slowdown that the machine reports.
   *
   * @param slowdownRatio Present duration of work relative to the usual one;
   *   ignored when it is not between 0.1 and 100.
   * @param nowMs Monotonic time, in ms.
   */
  setSlowdown(slowdownRatio: number, nowMs: number): void {
    if (
      !(slowdownRatio >= SLOWDOWN_MIN_RATIO &&
        slowdownRatio <= SLOWDOWN_MAX_RATIO)
    ) {
      return;
    }
    this.workMs(nowMs);
    this.#slowdownRatio = slowdownRatio;
    this.#reportedAtMs = nowMs;
  }

  /**
   * Returns the last reported slowdown.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Ratio to the usual duration; 1 without a recent report.
   */
  slowdownRatio(nowMs: number): number {
    return nowMs - this.#reportedAtMs <= FIGURE_MAX_AGE_MS
      ? this.#slowdownRatio
      : 1;
  }

  /**
   * Reads the clock.
   *
   * @param nowMs Monotonic time, in ms, not before that of the last call.
   * @returns Time spent on work since the first reading, in ms.
   */
  workMs(nowMs: number): number {
    const lastMs = this.#readAtMs ?? nowMs;
    this.#readAtMs = Math.max(lastMs, nowMs);
    const elapsedMs = this.#readAtMs - lastMs;
    const expiryMs = this.#reportedAtMs + FIGURE_MAX_AGE_MS;
    const slowedMs = Math.min(elapsedMs, Math.max(0, expiryMs - lastMs));
    this.#workMs += slowedMs / this.#slowdownRatio + (elapsedMs - slowedMs);
    return this.#workMs;
  }
}
