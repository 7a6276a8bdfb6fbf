/** Usual run time of each route, by which runs of all routes become comparable. */

/** Routes with a time of their own; the runs of further ones are not used. */
const ROUTES_MAX_COUNT = 64;
/** Ranges of the occupancy, from idle to full, that have their own mean. */
const RANGES_COUNT = 4;
/** Runs from which a mean is used. */
const RUNS_MIN_COUNT = 30;
/** Runs up to which all have the same weight. */
const RUNS_EQUAL_COUNT = 400;
/** Time constant with which a mean then follows a lasting change. */
const MEMORY_MS = 60_000;
/** Time after which a mean without new runs is discarded. */
const UNUSED_MAX_MS = 120_000;
/** Shorter times are not told apart. */
const TIME_MIN_MS = 0.05;

type MeanTime = { runsCount: number; ms: number; addedAtMs: number };

/** Usual own time of a route. */
export type UsualTime = {
  /** Time in ms; 0 while it is not known. */
  readonly ms: number;
  /** Runs of which it is the mean. */
  readonly runsCount: number;
};

const UNKNOWN: UsualTime = { ms: 0, runsCount: 0 };

/**
 * Mean own times of the routes at the occupancy at which they are shortest. That
 * is the lowest one, unless the upstream was slow when it had few requests.
 */
export class RouteScales {
  readonly #byRoute = new Map<string, MeanTime[]>();

  /**
   * Adds a run.
   *
   * @param routeName Route of the run.
   * @param ownMs Own time of the run, in ms.
   * @param run Share of the slots that was in use at its start, and monotonic
   *   time of its end, in ms.
   * @returns Usual own time of the route, valid until the next call.
   */
  add(
    routeName: string,
    ownMs: number,
    { occupancyRatio, nowMs }: { occupancyRatio: number; nowMs: number },
  ): UsualTime {
    const ranges = this.#rangesOf(routeName);
    if (ranges === undefined) {
      return UNKNOWN;
    }
    const index = Math.ceil(occupancyRatio * RANGES_COUNT) - 1;
    const mean = ranges[
      Math.max(0, Math.min(RANGES_COUNT - 1, index))
    ] as MeanTime;
    if (nowMs - mean.addedAtMs > UNUSED_MAX_MS) {
      mean.runsCount = 0;
    }
    mean.runsCount++;
    const weight = mean.runsCount <= RUNS_EQUAL_COUNT
      ? 1 / mean.runsCount
      : Math.min(1 / RUNS_EQUAL_COUNT, (nowMs - mean.addedAtMs) / MEMORY_MS);
    mean.ms += (Math.max(TIME_MIN_MS, ownMs) - mean.ms) * weight;
    mean.addedAtMs = nowMs;
    return this.#shortestOf(ranges, nowMs);
  }

  /** Shortest mean; one of few runs must be shorter by its expected error. */
  #shortestOf(ranges: readonly MeanTime[], nowMs: number): UsualTime {
    let shortest: UsualTime = UNKNOWN;
    let shortestBoundMs = Infinity;
    for (const mean of ranges) {
      const boundMs = mean.ms * (1 + 1 / Math.sqrt(mean.runsCount));
      if (
        mean.runsCount >= RUNS_MIN_COUNT && boundMs < shortestBoundMs &&
        nowMs - mean.addedAtMs <= UNUSED_MAX_MS
      ) {
        shortest = mean;
        shortestBoundMs = boundMs;
      }
    }
    return shortest;
  }

  #rangesOf(routeName: string): MeanTime[] | undefined {
    let ranges = this.#byRoute.get(routeName);
    if (ranges === undefined && this.#byRoute.size < ROUTES_MAX_COUNT) {
      ranges = Array.from({ length: RANGES_COUNT }, () => ({
        runsCount: 0,
        ms: 0,
        addedAtMs: 0,
      }));
      this.#byRoute.set(routeName, ranges);
    }
    return ranges;
  }
}
