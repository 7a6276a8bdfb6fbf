/**
 * Rate of the requests that callers presently offer. Answers waves whose period
 * is some seconds: the counts of {@link OfferedRequests} lag behind them by two.
 */
import { MovingAverage } from "../moving_average.ts";

/** Weight of one control interval of 100 ms; a lower one lags behind waves. */
const RATE_WEIGHT = 0.4;
/** Rate below which a flow is forgotten. */
const FORGOTTEN_MAX_PER_S = 1e-3;
const MS_PER_S = 1_000;

/** Requests of one route and class. */
type RatedFlow = {
  readonly routeName: string;
  readonly priority: number;
  count: number;
  readonly perS: MovingAverage;
};

/** Measures offered requests per second by route and class. */
export class OfferRates {
  readonly #flows = new Map<string, RatedFlow>();
  #steppedAtMs: number | undefined;

  /**
   * Counts a request.
   *
   * @param routeName Route of the request.
   * @param priority Class of the request.
   */
  add(routeName: string, priority: number): void {
    const name = `${priority} ${routeName}`;
    let flow = this.#flows.get(name);
    if (flow === undefined) {
      const perS = new MovingAverage(RATE_WEIGHT, 0);
      flow = { routeName, priority, count: 0, perS };
      this.#flows.set(name, flow);
    }
    flow.count++;
  }

  /**
   * Updates the rates. Called once per control interval.
   *
   * @param nowMs Monotonic time, in ms.
   */
  step(nowMs: number): void {
    const intervalMs = nowMs - (this.#steppedAtMs ?? nowMs);
    this.#steppedAtMs = nowMs;
    if (intervalMs <= 0) {
      return;
    }
    for (const [name, flow] of this.#flows) {
      flow.perS.add(flow.count * MS_PER_S / intervalMs);
      flow.count = 0;
      if (flow.perS.value < FORGOTTEN_MAX_PER_S) {
        this.#flows.delete(name);
      }
    }
  }

  /**
   * Sums the runs that the requests cause at a pool.
   *
   * @param classesCount Number of classes; less important ones join the last.
   * @param runsOf Runs at the pool that a request of a route causes.
   * @returns Runs per second by class, most important first.
   */
  runsPerS(
    classesCount: number,
    runsOf: (routeName: string) => number,
  ): number[] {
    const sums = new Array<number>(classesCount).fill(0);
    for (const { routeName, priority, perS } of this.#flows.values()) {
      sums[Math.min(priority, classesCount - 1)]! += perS.value *
        runsOf(routeName);
    }
    return sums;
  }
}
