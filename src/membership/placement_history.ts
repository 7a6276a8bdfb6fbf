/** History of the data centres that each pool lists. */
import type { PoolsTable } from "../schemas/tables_schema.ts";

/** Data centres of a pool during one period. */
export type Placement = {
  /** Start of the period on the monotonic clock, in ms. */
  readonly fromMs: number;
  readonly dataCentres: readonly string[];
};

const NO_PLACEMENTS: readonly Placement[] = [];

function isSameList(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((name, index) => name === b[index]);
}

/**
 * Records which data centres a pool listed at each time, because the home of an
 * idempotency key is chosen from them.
 *
 * @example
 * placements.record(config.tables.pools.pools, nowMs);
 * placements.history("plates", { sinceMs });
 */
export class PlacementHistory {
  readonly #byPool = new Map<string, Placement[]>();
  readonly #retentionMs: number;

  /**
   * @param retentionMs Time for which earlier lists are kept, in ms.
   */
  constructor(retentionMs: number) {
    this.#retentionMs = retentionMs;
  }

  /**
   * Records the data centres of each pool when a configuration comes into force.
   * The first list of a pool also applies to all earlier times.
   *
   * @param pools Pools of the configuration.
   * @param nowMs Monotonic time, in ms.
   */
  record(pools: PoolsTable["pools"], nowMs: number): void {
    for (const [name, { dataCentres }] of Object.entries(pools)) {
      const known = this.#byPool.get(name);
      if (known === undefined) {
        this.#byPool.set(name, [{ fromMs: -Infinity, dataCentres }]);
        continue;
      }
      const last = known.at(-1) as Placement;
      if (!isSameList(last.dataCentres, dataCentres)) {
        known.push({ fromMs: nowMs, dataCentres });
        this.#evict(known, nowMs);
      }
    }
  }

  /**
   * Lists the placements that were in force at or after a given time.
   *
   * @param pool Pool name.
   * @param options Start of the requested time on the monotonic clock, in ms.
   * @returns Placements, oldest first; empty for an unknown pool.
   */
  history(
    pool: string,
    options: { sinceMs: number },
  ): readonly Placement[] {
    const known = this.#byPool.get(pool);
    if (known === undefined) {
      return NO_PLACEMENTS;
    }
    const first = known.findLastIndex(({ fromMs }) =>
      fromMs <= options.sinceMs
    );
    return known.slice(Math.max(first, 0));
  }

  #evict(known: Placement[], nowMs: number): void {
    const oldestMs = nowMs - this.#retentionMs;
    while ((known[1]?.fromMs ?? Infinity) < oldestMs) {
      known.shift();
    }
  }
}
