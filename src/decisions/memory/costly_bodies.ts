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
  readonly #bodies = new Set<CostlyBody>();

  /**
   * @param maxCount Bodies that may be received at the same time.
   */
  constructor(maxCount: number) {
    this.#maxCount = maxCount;
  }

  /**
   * Admits a body. Those that make no progress give their place away, and need
   * to be admitted again.
   *
   * @param body Body with more chunks than usual.
   * @param nowMs Monotonic time, in ms.
   * @returns False when the body should be refused.
   */
  admit(body: CostlyBody, nowMs: number): boolean {
    if (this.#bodies.has(body)) {
      return true;
    }
    for (const other of this.#bodies) {
      if (nowMs - other.progressAtMs >= STALLED_MIN_MS) {
        this.#bodies.delete(other);
      }
    }
    if (this.#bodies.size >= this.#maxCount) {
      return false;
    }
    this.#bodies.add(body);
    return true;
  }

  /**
   * Removes a body that is complete or refused.
   *
   * @param body Body; nothing happens if it was not admitted.
   */
  delete(body: CostlyBody): void {
    this.#bodies.delete(body);
  }
}
