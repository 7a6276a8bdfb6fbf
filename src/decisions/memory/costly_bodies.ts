/** Bound on the bodies whose chunks take more time than their bytes justify. */
import { STALLED_MIN_MS } from "./eviction_order.ts";

/** A body that is being received. */
export type CostlyBody = {
  /** Monotonic time of its last bytes, in ms. */
  readonly progressAtMs: number;
};

/**
 * Admits a few bodies with many small chunks at a time. One alone is received
 * in slices beside the work for others; a crowd of them would take all of the
 * processor time.
 *
 * @example
 * const bodies = new CostlyBodies(2);
 * if (!bodies.admit(body, nowMs)) refuse(body);
 */
export class CostlyBodies {
  readonly #maxCount: number;
  /** Monotonic time at which each body last needed its place, in ms. */
  readonly #neededAtMs = new Map<CostlyBody, number>();

  /**
   * @param maxCount Bodies that may be received at the same time.
   */
  constructor(maxCount: number) {
    this.#maxCount = maxCount;
  }

  /**
   * Admits a body. Those that make no progress, or that have not needed their
   * place for as long, give it away and need to be admitted again. A body that
   * sends a small chunk now and then makes progress, but it takes no time.
   *
   * @param body Body with more chunks than usual; called again as long as it
   *   has.
   * @param nowMs Monotonic time, in ms.
   * @returns False when the body should be refused.
   */
  admit(body: CostlyBody, nowMs: number): boolean {
    if (!this.#neededAtMs.has(body) && !this.#hasRoom(nowMs)) {
      return false;
    }
    this.#neededAtMs.set(body, nowMs);
    return true;
  }

  /**
   * Removes a body that is complete or refused.
   *
   * @param body Body; nothing happens if it was not admitted.
   */
  delete(body: CostlyBody): void {
    this.#neededAtMs.delete(body);
  }

  #hasRoom(nowMs: number): boolean {
    for (const [body, neededAtMs] of this.#neededAtMs) {
      const usedAtMs = Math.min(neededAtMs, body.progressAtMs);
      if (nowMs - usedAtMs >= STALLED_MIN_MS) {
        this.#neededAtMs.delete(body);
      }
    }
    return this.#neededAtMs.size < this.#maxCount;
  }
}
