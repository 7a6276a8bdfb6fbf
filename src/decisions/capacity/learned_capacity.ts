/** Learns how many concurrent requests an upstream handles well. */
import { MovingAverage } from "../moving_average.ts";
import { LimitSearch } from "./limit_search.ts";
import { RouteScales } from "./route_scales.ts";
import { RunSample } from "./run_sample.ts";
import { WorkClock } from "./work_clock.ts";

/**
 * Share of the upstream's slots that the daemon uses. Upstreams slow down when
 * nearly all of their slots are in use.
 */
const SLOTS_USED_RATIO = 0.95;
/** Weight of the newest run in the mean run time. */
const RUN_TIME_WEIGHT = 0.05;
/** Assumed run time before the first answer. */
const INITIAL_RUN_MS = 50;
/** Weight of the newest run in the mean time of downstream calls. */
const CALLS_WEIGHT = 0.02;
/** Length of a window, which is extended until it has enough runs. */
const WINDOW_MIN_MS = 200;
const WINDOW_MAX_MS = 2_000;
const WINDOW_RUNS_MIN_COUNT = 50;
/** Share of the limit that must run for a run to count as limited by it. */
const LIMITED_RATIO = 0.9;
/** Standard errors by which a slowdown must exceed the usual speed. */
const ERRORS_MIN_COUNT = 4;
/** Time constants with which the usual speed follows a lower or higher one. */
const USUAL_SLOWER_MS = 60_000;
const USUAL_FASTER_MS = 2_000;

/** How a run ended; only the time of an answered or overdue one is learned. */
export type RunResult = "answered" | "failed" | "overdue";

/** One run at the upstream. */
export type CapacityRun = {
  readonly routeName: string;
  /** Time from the request to its end, in ms. */
  readonly runMs: number;
  /** Part of it during which at least one downstream call was open, in ms. */
  readonly callsMs: number;
  /** Reading of the work clock at its start; see `startRun`. */
  readonly startedWorkMs: number;
  /** Running requests at its start, itself included. */
  readonly runningAtStartCount: number;
  /** Running requests at its end, itself included. */
  readonly runningAtEndCount: number;
  readonly result: RunResult;
  readonly nowMs: number;
};

/**
 * Concurrency limit of an upstream, from its run times. The limit is the usual
 * share of the slots unless trials have shown that fewer concurrent requests have
 * a higher throughput.
 *
 * @example
 * const startedWorkMs = capacity.startRun(nowMs);
 * capacity.recordRun({ startedWorkMs, ...run });
 * capacity.tick(nowMs);
 * capacity.limitCount;
 */
export class LearnedCapacity {
  readonly #work = new WorkClock();
  readonly #runMs = new MovingAverage(RUN_TIME_WEIGHT, INITIAL_RUN_MS);
  readonly #callsRatio = new MovingAverage(CALLS_WEIGHT, 0);
  readonly #window = new RunSample();
  #slotsCount = 0;
  #usualLimitCount = 0;
  #scales = new RouteScales();
  #search = new LimitSearch();
  #limitedRunsCount = 0;
  /** Fewest runs from which a usual time of the window is known. */
  #scaleRunsCount = Infinity;
  #windowStartMs = -Infinity;
  #slowdownRatio = 1;
  #usualRatio = 1;
  #isCold = false;
  /** Runs that started before this time are of a cold or former upstream. */
  #learnedSinceMs = -Infinity;

  /** Number of concurrent requests without a learned limit; at first 0. */
  get usualLimitCount(): number {
    return this.#usualLimitCount;
  }

  /** Number of concurrent requests that has the highest known throughput. */
  get limitCount(): number {
    return Math.min(this.usualLimitCount, this.#search.limitCount);
  }

  /**
   * Returns the number of requests that may run at present.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The limit, or another one during a trial.
   */
  presentLimitCount(nowMs: number): number {
    return Math.min(this.usualLimitCount, this.#search.presentCount(nowMs));
  }

  /**
   * Returns the expected time of a run, with its downstream calls.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Mean time of the last runs at the reported speed, in ms.
   */
  expectedRunMs(nowMs: number): number {
    return this.#runMs.value * this.#work.slowdownRatio(nowMs);
  }

  /**
   * Returns how much longer runs take than usual.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Ratio to the usual time at low occupancy.
   */
  slowdownRatio(nowMs: number): number {
    return this.#slowdownRatio * this.#work.slowdownRatio(nowMs);
  }

  /**
   * Applies the upstream's number of slots. What was learned is discarded when
   * another upstream serves or its number of slots has changed.
   *
   * @param upstream Reported slots, and whether another upstream serves.
   * @param nowMs Monotonic time, in ms.
   */
  setUpstream(
    { slotsCount, isNew }: { slotsCount: number; isNew: boolean },
    nowMs: number,
  ): void {
    const isKnown = this.#usualLimitCount > 0 &&
      slotsCount === this.#slotsCount;
    if (isKnown && !isNew) {
      return;
    }
    this.#slotsCount = slotsCount;
    this.#usualLimitCount = Math.max(
      1,
      Math.floor(slotsCount * SLOTS_USED_RATIO),
    );
    this.#scales = new RouteScales();
    this.#search = new LimitSearch();
    this.#window.clear();
    this.#limitedRunsCount = 0;
    this.#scaleRunsCount = Infinity;
    this.#slowdownRatio = 1;
    this.#usualRatio = 1;
    this.#learnedSinceMs = nowMs;
  }

  /**
   * Records whether the upstream is still slow after its start.
   *
   * @param isCold Whether it is.
   * @param nowMs Monotonic time, in ms.
   */
  setCold(isCold: boolean, nowMs: number): void {
    if (this.#isCold && !isCold) {
      this.#learnedSinceMs = nowMs;
    }
    this.#isCold = isCold;
  }

  /**
   * Records how long work presently takes on the machine, as it reports it.
   *
   * @param slowdownRatio Ratio to the usual time.
   * @param nowMs Monotonic time, in ms.
   */
  recordSlowdown(slowdownRatio: number, nowMs: number): void {
    this.#work.setSlowdown(slowdownRatio, nowMs);
  }

  /**
   * Records the start of a run.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Reading of the work clock, to be passed with the end of the run.
   */
  startRun(nowMs: number): number {
    return this.#work.workMs(nowMs);
  }

  /**
   * Records the end of a run.
   *
   * @param run Times and result.
   */
  recordRun(run: CapacityRun): void {
    const { runMs, callsMs, runningAtStartCount, result, nowMs } = run;
    const workMs = this.#work.workMs(nowMs) - run.startedWorkMs;
    // An upstream that fails fast would otherwise look like a fast one.
    this.#runMs.add(
      result === "failed" ? Math.max(this.#runMs.value, workMs) : workMs,
    );
    const startedAtMs = nowMs - runMs;
    if (
      result === "failed" || runMs <= 0 || this.#isCold ||
      startedAtMs < this.#learnedSinceMs
    ) {
      return;
    }
    const ownMs = workMs * Math.max(0, runMs - callsMs) / runMs;
    const runningCount = (runningAtStartCount + run.runningAtEndCount) / 2;
    const usual = this.#scales.add(run.routeName, ownMs, {
      occupancyRatio: runningAtStartCount / this.#slotsCount,
      nowMs,
    });
    if (usual.runsCount > 0) {
      const ratio = ownMs / usual.ms;
      this.#callsRatio.add(callsMs / usual.ms);
      this.#scaleRunsCount = Math.min(this.#scaleRunsCount, usual.runsCount);
      this.#window.add(ratio, runningCount);
      this.#limitedRunsCount += runningCount >= LIMITED_RATIO * this.limitCount
        ? 1
        : 0;
      this.#search.addRun(startedAtMs, ratio, runningCount);
    }
  }

  /**
   * Adjusts the limit. Called once per control interval.
   *
   * @param nowMs Monotonic time, in ms.
   */
  tick(nowMs: number): void {
    this.#search.tick(nowMs, this.usualLimitCount);
    const windowMs = nowMs - this.#windowStartMs;
    const hasRuns = this.#window.count >= WINDOW_RUNS_MIN_COUNT;
    if (windowMs < WINDOW_MIN_MS || (!hasRuns && windowMs < WINDOW_MAX_MS)) {
      return;
    }
    const slowdownRatio = this.#endSpeedWindow(hasRuns, windowMs);
    this.#search.endWindow(nowMs, {
      usualCount: this.usualLimitCount,
      slowdownRatio,
      limitedRatio: hasRuns ? this.#limitedRunsCount / this.#window.count : 0,
      runMs: this.expectedRunMs(nowMs),
      callsRatio: this.#callsRatio.value,
    });
    this.#window.clear();
    this.#limitedRunsCount = 0;
    this.#scaleRunsCount = Infinity;
    this.#windowStartMs = nowMs;
  }

  /**
   * Updates the speed. Returns the slowdown of the window relative to the usual
   * speed; 1 when it is not significant.
   */
  #endSpeedWindow(hasRuns: boolean, windowMs: number): number {
    if (!hasRuns) {
      this.#slowdownRatio = 1;
      return 1;
    }
    const { meanRatio, errorRatio } = this.#window;
    this.#slowdownRatio = meanRatio;
    const usualRatio = this.#usualRatio;
    const constantMs = meanRatio > usualRatio
      ? USUAL_SLOWER_MS
      : USUAL_FASTER_MS;
    const weight = 1 -
      Math.exp(-Math.min(windowMs, WINDOW_MAX_MS) / constantMs);
    this.#usualRatio = Math.max(
      1,
      usualRatio + (meanRatio - usualRatio) * weight,
    );
    const scaleError = Math.sqrt(1 + this.#window.count / this.#scaleRunsCount);
    return meanRatio - usualRatio >= ERRORS_MIN_COUNT * errorRatio * scaleError
      ? meanRatio / usualRatio
      : 1;
  }
}
