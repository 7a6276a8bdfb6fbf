/** Learned capacity of the local upstream. */
import { LearnedCapacity } from "../decisions/capacity/learned_capacity.ts";
import type { UpstreamReport } from "../schemas/fleet_schema.ts";
import type { Logger } from "../telemetry/logger.ts";
import type { ServedRequest, ServedResult } from "./served_request.ts";
import type { UpstreamSignals } from "./upstream_signals.ts";

/** Change of the limit that is logged, relative to the logged value. */
const LOGGED_STEP_RATIO = 0.2;
/** Minimum time between two lines about the limit. */
const LOG_INTERVAL_MS = 1_000;

/** Passes what the daemon sees of the upstream to {@link LearnedCapacity}. */
export class UpstreamCapacity {
  readonly #log: Logger;
  readonly #learned = new LearnedCapacity();
  #upstreamId: string | undefined;
  #startedEpochMs = 0;
  #loggedCount = 0;
  #loggedAtMs = -Infinity;

  /**
   * @param log Receives a line when the limit has changed.
   */
  constructor(log: Logger) {
    this.#log = log;
  }

  /** Number of requests that the upstream handles well at once. */
  get limitCount(): number {
    return this.#learned.limitCount;
  }

  /**
   * Returns the number of requests that may run; see
   * {@link LearnedCapacity.presentLimitCount}.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The limit, or another one during a trial.
   */
  presentLimitCount(nowMs: number): number {
    return this.#learned.presentLimitCount(nowMs);
  }

  /**
   * Returns the expected time of a run, with its downstream calls.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Expected time, in ms.
   */
  expectedRunMs(nowMs: number): number {
    return this.#learned.expectedRunMs(nowMs);
  }

  /**
   * Returns how much longer runs take than usual.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Ratio to the usual time.
   */
  slowdownRatio(nowMs: number): number {
    return this.#learned.slowdownRatio(nowMs);
  }

  /**
   * Applies a report of the upstream.
   *
   * @param report Last report; undefined before the first.
   * @param nowMs Monotonic time, in ms.
   */
  update(report: UpstreamReport | undefined, nowMs: number): void {
    const { upstreamId, startedEpochMs = 0, slotsCount = 0 } = report ?? {};
    // The start is 0 when only a health check is known of the upstream.
    const isRestarted = this.#startedEpochMs > 0 &&
      startedEpochMs > this.#startedEpochMs;
    const isNew = upstreamId !== this.#upstreamId || isRestarted;
    this.#upstreamId = upstreamId;
    this.#startedEpochMs = isNew
      ? startedEpochMs
      : Math.max(this.#startedEpochMs, startedEpochMs);
    this.#learned.setUpstream({ slotsCount, isNew }, nowMs);
    this.#learned.setCold((report?.coldRemainingMs ?? 0) > 0, nowMs);
  }

  /**
   * Applies what the upstream has said of its load in an answer.
   *
   * @param signals Signals of the answer; those of a former upstream are ignored.
   * @param nowMs Monotonic time, in ms.
   */
  applySignals(signals: UpstreamSignals, nowMs: number): void {
    const { upstreamId, slowdownRatio } = signals;
    if (upstreamId === this.#upstreamId && slowdownRatio !== undefined) {
      this.#learned.recordSlowdown(slowdownRatio, nowMs);
    }
  }

  /**
   * Records that a request is sent to the upstream.
   *
   * @param served The request.
   * @param runningCount Requests that run, this one included.
   */
  recordStart(served: ServedRequest, runningCount: number): void {
    served.startedWorkMs = this.#learned.startRun(served.sentAtMs);
    served.runningAtStartCount = runningCount;
  }

  /**
   * Records the result of a request that has run.
   *
   * @param served The request.
   * @param result Result; only that of an answered or overdue request counts.
   * @param end Requests that ran at its end, this one included, and monotonic
   *   time of its end in ms.
   */
  recordEnd(
    served: ServedRequest,
    result: ServedResult,
    { runningCount, nowMs }: { runningCount: number; nowMs: number },
  ): void {
    if (
      result !== "answered" && result !== "errorAnswered" &&
      result !== "overdue"
    ) {
      return;
    }
    this.#learned.recordRun({
      routeName: served.request.routeName,
      runMs: nowMs - served.sentAtMs,
      callsMs: served.callTimes.totalMs(nowMs),
      startedWorkMs: served.startedWorkMs,
      runningAtStartCount: served.runningAtStartCount,
      runningAtEndCount: runningCount,
      result: result === "errorAnswered" ? "failed" : result,
      nowMs,
    });
  }

  /**
   * Adjusts the limit. Called once per control interval.
   *
   * @param report Last report of the upstream; undefined before the first.
   * @param nowMs Monotonic time, in ms.
   */
  tick(report: UpstreamReport | undefined, nowMs: number): void {
    this.#learned.setCold((report?.coldRemainingMs ?? 0) > 0, nowMs);
    this.#learned.tick(nowMs);
    this.#logChange(nowMs);
  }

  #logChange(nowMs: number): void {
    const { limitCount, usualLimitCount } = this.#learned;
    const lastLimitCount = this.#loggedCount || usualLimitCount;
    if (
      Math.abs(limitCount - lastLimitCount) <=
        LOGGED_STEP_RATIO * lastLimitCount ||
      nowMs - this.#loggedAtMs < LOG_INTERVAL_MS
    ) {
      return;
    }
    this.#loggedCount = limitCount;
    this.#loggedAtMs = nowMs;
    this.#log.info("Learned limit changed", {
      upstreamId: this.#upstreamId,
      limitCount,
      lastLimitCount,
      usualLimitCount,
      slowdownRatio: Math.round(this.slowdownRatio(nowMs) * 100) / 100,
    });
  }
}
