/** Admission of requests where they enter, by what their calls will load. */

/** Options of {@link EntryLevels}. */
export type EntryLevelsOptions = {
  /** Queue wait of a pool above which less is admitted, in ms. */
  waitTargetMs: number;
};

/** State of one pool that requests run at. */
export type PoolPressure = {
  /** Mean queue wait over the pool's upstreams, in ms. */
  readonly queueWaitMs: number;
  /** Share of the pool's slots that is taken. */
  readonly busyRatio: number;
};

/** Share of each class that is admitted in any case. */
const ADMITTED_MIN_RATIO = 0.25;
/** Largest decrease of a level in one step, in classes. */
const DECREASE_MAX = 0.16;
const DECREASE_PER_EXCESS = 0.04;
/** Increase of a level in one step while the pool has room, in classes. */
const INCREASE = 0.03;
/** Busy share above which a level is not increased. */
const INCREASE_BUSY_RATIO = 0.9;

/**
 * Keeps one admission level per pool. A request of priority `p` with random
 * key `u` in `[0, 1)` enters while `p + u` is below the level of every pool
 * that it or its calls run at, so that less important classes are shed first
 * and gradually.
 *
 * @example
 * levels.step("plates", { queueWaitMs: 40, busyRatio: 1 }, 3);
 * levels.admits({ priority: 2, key: 0.7, pools: ["plates"] });
 */
export class EntryLevels {
  readonly #options: EntryLevelsOptions;
  readonly #levels = new Map<string, number>();

  /**
   * @param options Target of the queue wait.
   */
  constructor(options: EntryLevelsOptions) {
    this.#options = options;
  }

  /**
   * Adjusts the level of a pool; called once per control interval.
   *
   * @param pool Name of the pool.
   * @param pressure Present state of the pool.
   * @param classesCount Priorities that exist; the level admits all of them
   *   at this value.
   * @returns The new level.
   */
  step(pool: string, pressure: PoolPressure, classesCount: number): number {
    const level = Math.min(
      this.#levels.get(pool) ?? classesCount,
      classesCount,
    );
    const excess = pressure.queueWaitMs / this.#options.waitTargetMs - 1;
    let next = level;
    if (excess > 0) {
      next = level - Math.min(DECREASE_MAX, DECREASE_PER_EXCESS * excess);
    } else if (pressure.busyRatio < INCREASE_BUSY_RATIO) {
      next = level + INCREASE;
    }
    next = Math.min(classesCount, Math.max(0, next));
    this.#levels.set(pool, next);
    return next;
  }

  /**
   * Level of a pool.
   *
   * @param pool Name of the pool.
   * @returns Classes that are admitted; undefined before the first step.
   */
  level(pool: string): number | undefined {
    return this.#levels.get(pool);
  }

  /**
   * Decides on a request that enters.
   *
   * @param request Priority (0 is shed last), random key in `[0, 1)`, and the
   *   pools that it and its calls run at.
   * @returns The pool that has no room; undefined when the request enters.
   */
  refusingPool(
    request: { priority: number; key: number; pools: Iterable<string> },
  ): string | undefined {
    if (request.key < ADMITTED_MIN_RATIO) {
      return undefined;
    }
    for (const pool of request.pools) {
      const level = this.#levels.get(pool);
      if (level !== undefined && request.priority + request.key >= level) {
        return pool;
      }
    }
    return undefined;
  }
}
