/** What the results of served requests tell of the local upstream. */
import type { CallObserver } from "../decisions/routing/call_observer.ts";
import { MovingAverage } from "../decisions/moving_average.ts";
import { RefusalMeter } from "../decisions/sharing/refusal_meter.ts";
import type { ServedRequest, ServedResult } from "./served_request.ts";

/** Weight of the newest result in the failure ratio. */
const FAILURE_WEIGHT = 0.05;

/** Records the results of requests that held a slot. */
export class ServedResults {
  readonly #observer: CallObserver;
  readonly #failures = new MovingAverage(FAILURE_WEIGHT, 0);
  readonly #refusals = new RefusalMeter();
  /** Consecutive requests whose deadlines have passed at the upstream. */
  overdueCount = 0;

  /**
   * @param observer Receives the downstream calls of each run.
   */
  constructor(observer: CallObserver) {
    this.#observer = observer;
  }

  /** Share of the last requests that failed. */
  get failureRatio(): number {
    return this.#failures.value;
  }

  /**
   * Returns the share of the last requests that the upstream refused.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Share in `[0, 1)`; near 0 without recent results.
   */
  refusedRatio(nowMs: number): number {
    return this.#refusals.refusedRatio(nowMs);
  }

  /**
   * Records the result of a request.
   *
   * @param served The request.
   * @param result Its result.
   * @param nowMs Monotonic time of its end, in ms.
   */
  record(served: ServedRequest, result: ServedResult, nowMs: number): void {
    this.#observeCalls(served, result);
    if (result !== "cancelled") {
      this.#refusals.record(result === "refused", nowMs);
      this.#failures.add(result === "answered" ? 0 : 1);
      this.overdueCount = result === "overdue" ? this.overdueCount + 1 : 0;
    }
  }

  /** Counts the calls of a request that has run. */
  #observeCalls(served: ServedRequest, result: ServedResult): void {
    if (result === "refused" || result === "unreachable") {
      return;
    }
    this.#observer.recordRun(served.request.routeName, {
      calledRouteNames: served.calledRouteNames,
      chanceRouteNames: served.chanceRouteNames,
      isSuccessful: result === "answered",
    });
  }
}
