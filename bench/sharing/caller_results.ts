/** What callers got, by route. */
import type { ValuedRoute } from "./bottleneck_scenario.ts";

/** Final outcome of a caller's request. */
export type CallerOutcome =
  | "onTime"
  | "late"
  | "refusedAgain"
  | "failed";

/** Counted outcomes of one route. */
export type RouteResult = {
  offered: number;
  /** Offered requests that were refused at first. */
  refusedAtFirst: number;
} & Record<CallerOutcome, number>;

/** Counts outcomes of requests that were offered in the measured time. */
export class CallerResults {
  readonly #byRoute = new Map<string, RouteResult>();
  readonly #measuredFromMs: number;

  /**
   * @param measuredFromMs Time from which offered requests count.
   */
  constructor(measuredFromMs: number) {
    this.#measuredFromMs = measuredFromMs;
  }

  /**
   * Returns the counts of a route.
   *
   * @param routeName Route.
   * @returns Its counts; all 0 before its first request.
   */
  of(routeName: string): RouteResult {
    let result = this.#byRoute.get(routeName);
    if (result === undefined) {
      result = {
        offered: 0,
        refusedAtFirst: 0,
        onTime: 0,
        late: 0,
        refusedAgain: 0,
        failed: 0,
      };
      this.#byRoute.set(routeName, result);
    }
    return result;
  }

  /** Adds one to a count, unless the request was offered too early. */
  record(
    routeName: string,
    field: keyof RouteResult,
    arrivedAtMs: number,
  ): void {
    if (arrivedAtMs >= this.#measuredFromMs) {
      this.of(routeName)[field]++;
    }
  }

  /**
   * Share of the possible value that was earned.
   *
   * @param routes Routes that count.
   * @returns Value of the answers, relative to all answers on time.
   */
  valueRatio(routes: readonly ValuedRoute[]): number {
    let earned = 0;
    let possible = 0;
    for (const { name, value, lateValue } of routes) {
      const { offered, onTime, late } = this.of(name);
      earned += onTime * value + late * lateValue;
      possible += offered * value;
    }
    return earned / possible;
  }
}
