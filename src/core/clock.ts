/** Sources of time. Decisions receive times as arguments and never read a clock. */

/** Reads the time of one process. */
export interface Clock {
  /** Wall clock, in ms since the epoch. May jump. */
  wallMs(): number;
  /** Monotonic clock, in ms since an arbitrary start. Never goes back. */
  monotonicMs(): number;
}

/** Clock of the operating system. */
export class SystemClock implements Clock {
  /** @inheritdoc */
  wallMs(): number {
    return Date.now();
  }

  /** @inheritdoc */
  monotonicMs(): number {
    return performance.now();
  }
}

/** Clock that tests and simulations advance by hand. */
export class ManualClock implements Clock {
  #wallMs: number;
  #monotonicMs = 0;

  /**
   * @param startMs Initial wall time, in ms since the epoch.
   */
  constructor(startMs = 0) {
    this.#wallMs = startMs;
  }

  /** @inheritdoc */
  wallMs(): number {
    return this.#wallMs;
  }

  /** @inheritdoc */
  monotonicMs(): number {
    return this.#monotonicMs;
  }

  /**
   * Advances both clocks.
   *
   * @param durationMs Time to advance, in ms; not negative.
   */
  advance(durationMs: number): void {
    this.#wallMs += durationMs;
    this.#monotonicMs += durationMs;
  }

  /**
   * Moves only the wall clock, as a clock adjustment does.
   *
   * @param offsetMs Signed offset in ms.
   */
  jumpWall(offsetMs: number): void {
    this.#wallMs += offsetMs;
  }
}
