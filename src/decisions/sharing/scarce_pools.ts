/**
 * Pools of which the room is scarce, or was until recently. Only these are worth
 * the reports of all daemons to all of their upstreams: with tenants, flows
 * compete for every pool, and most of them are nearly idle.
 */

/**
 * Busy ratio from which on room is scarce. Upstreams publish theirs from this
 * value on.
 */
const SCARCE_BUSY_RATIO = 0.75;
/** Time after which a pool that has room again is not scarce any more. */
const SCARCE_FOR_MS = 5_000;

/** Load of a pool. */
export type PoolScarcity = {
  /** Running and waiting requests per slot. */
  readonly busyRatio: number;
  /** Whether only a part of the offered requests is admitted. */
  readonly isShedding: boolean;
};

/**
 * Tells which pools are scarce.
 *
 * @example
 * pools.isScarce("plates", { busyRatio: 0.9, isShedding: false }, nowMs); // true
 */
export class ScarcePools {
  readonly #scarceAtMs = new Map<string, number>();

  /**
   * Applies the load of a pool. Called once per control interval.
   *
   * @param pool Name of the pool.
   * @param load Its load.
   * @param nowMs Monotonic time, in ms.
   * @returns True while it is scarce, and for some seconds after that.
   */
  isScarce(
    pool: string,
    { busyRatio, isShedding }: PoolScarcity,
    nowMs: number,
  ): boolean {
    if (busyRatio >= SCARCE_BUSY_RATIO || isShedding) {
      this.#scarceAtMs.set(pool, nowMs);
      return true;
    }
    const scarceAtMs = this.#scarceAtMs.get(pool);
    if (scarceAtMs === undefined || nowMs - scarceAtMs < SCARCE_FOR_MS) {
      return scarceAtMs !== undefined;
    }
    this.#scarceAtMs.delete(pool);
    return false;
  }
}
