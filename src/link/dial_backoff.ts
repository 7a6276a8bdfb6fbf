/** Back-off between the attempts to open a connection. */
import type { RandomSource } from "../core/random.ts";

/**
 * Initial upper bound of the time until the next dial. The bound doubles with
 * each failure; the time is random, between half of the bound and the bound.
 */
const REDIAL_BASE_MS = 150;
/** Maximum of that bound. */
const REDIAL_MAX_MS = 1_000;

/** Exponential back-off with jitter. */
export class DialBackoff {
  readonly #random: RandomSource;
  #failuresCount = 0;
  /** Monotonic time of the next dial, in ms. */
  dialAtMs = 0;

  /**
   * @param random Source of the jitter.
   */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  /**
   * Counts a failure and schedules the next dial.
   *
   * @param nowMs Monotonic time, in ms.
   */
  schedule(nowMs: number): void {
    const boundMs = Math.min(
      REDIAL_MAX_MS,
      REDIAL_BASE_MS * 2 ** this.#failuresCount,
    );
    this.#failuresCount++;
    this.dialAtMs = nowMs + boundMs * (0.5 + this.#random.nextFloat() / 2);
  }

  /** Makes the next dial due at once; the failures still count. */
  clear(): void {
    this.dialAtMs = 0;
  }

  /** Forgets the failures. */
  reset(): void {
    this.#failuresCount = 0;
  }
}
