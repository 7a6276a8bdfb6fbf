/** Elapsed time that includes the time for which the machine was suspended. */
import type { Clock } from "../../core/clock.ts";

/** A moment on both clocks of a process. */
export type Instant = {
  readonly monotonicMs: number;
  /** In ms since the epoch; may jump in either direction. */
  readonly wallMs: number;
};

/**
 * Smallest difference between the clocks that counts as a suspension or as an
 * adjustment of the wall clock. Smaller ones come from the resolution of 1 ms of
 * the wall clock and from its slow correction.
 */
const JUMP_MIN_MS = 20;

/**
 * Reads both clocks.
 *
 * @param clock Clock of the process.
 * @returns The present moment.
 */
export function readInstant(clock: Clock): Instant {
  return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() };
}

/**
 * Adds to the monotonic time what the wall clock ran ahead of it: the monotonic
 * clock stops while a machine is suspended. A wall clock that jumps back changes
 * nothing, also when it takes back an earlier jump.
 *
 * @example
 * const clock = new ElapsedClock();
 * const startMs = clock.elapsedMs(readInstant(systemClock));
 */
export class ElapsedClock {
  #offsetMs: number | undefined;
  #suspendedMs = 0;

  /**
   * Returns the elapsed time. Must be called often, since a jump forward and one
   * back between two calls cancel each other out.
   *
   * @param now The present moment.
   * @returns Elapsed time since an arbitrary start, in ms; never decreases.
   */
  elapsedMs({ monotonicMs, wallMs }: Instant): number {
    const offsetMs = wallMs - monotonicMs;
    this.#offsetMs ??= offsetMs;
    const jumpMs = offsetMs - this.#offsetMs;
    if (Math.abs(jumpMs) > JUMP_MIN_MS) {
      this.#offsetMs = offsetMs;
      this.#suspendedMs += Math.max(0, jumpMs);
    }
    return monotonicMs + this.#suspendedMs;
  }
}
