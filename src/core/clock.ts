/**
 * Clocks. The modules in `src/decisions` receive times as arguments and never
 * read a clock.
 */

/** Clock of a process. */
export interface Clock {
  /** Wall time, in ms since the epoch. May jump in either direction. */
  wallMs(): number;
  /** Monotonic time, in ms since an arbitrary start. Never decreases. */
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

/** Clock that tests and simulations advance explicitly. */
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
   * Advances the wall time and the monotonic time.
   *
   * @param durationMs Time to advance, in ms; not negative.
   */
  advance(durationMs: number): void {
    this.#wallMs += durationMs;
    this.#monotonicMs += durationMs;
  }

  /**
   * Changes only the wall time, as an adjustment of the system clock does.
   *
   * @param offsetMs Signed offset in ms.
   */
  jumpWall(offsetMs: number): void {
    this.#wallMs += offsetMs;
  }
}
