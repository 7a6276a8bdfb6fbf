/** Search for the concurrency limit with the highest throughput. */
import { LimitTrial } from "./limit_trial.ts";

/** Slowdown at the limit from which a lower limit is tried. */
const SLOWDOWN_MIN_RATIO = 1.3;
/** Share of the runs at the limit from which a lower or higher one is tried. */
const LOWER_LIMITED_MIN_RATIO = 0.75;
const RAISE_LIMITED_MIN_RATIO = 0.1;
/** Consecutive windows with such a slowdown after which it is tried. */
const SLOW_WINDOWS_MIN_COUNT = 2;
/** Smallest share of the limit that is tried. */
const LOWER_MIN_RATIO = 0.25;
/**
 * Bounds of the step towards a higher limit, as a share of it. The step doubles
 * after a clear success and is halved otherwise.
 */
const RAISE_MIN_RATIO = 0.08;
const RAISE_MAX_RATIO = 1;
const RAISE_INITIAL_RATIO = 0.2;
/** Time after which a higher limit that was not better is tried again. */
const RAISE_INTERVAL_MS = 1_500;
/**
 * Time after which a lower limit that was not better is tried again; it doubles
 * each time, because the upstream is then slow for another reason than its load.
 */
const LOWER_INTERVAL_MS = 2_000;
const LOWER_INTERVAL_MAX_MS = 32_000;
/** Length of a phase of a trial, in mean run times, and its bounds in ms. */
const PHASE_RUNS = 3;
const PHASE_MIN_MS = 100;
const PHASE_MAX_MS = 1_000;
/** Time without demand up to the limit after which the limit is discarded. */
const UNUSED_MAX_MS = 30_000;

/** What a window has shown. */
export type SearchInput = {
  /** Limit without a learned one. */
  readonly usualCount: number;
  /** Run time relative to the usual one; 1 when it is not known. */
  readonly slowdownRatio: number;
  /** Share of the runs beside which as many ran as the limit allows. */
  readonly limitedRatio: number;
  /** Mean time that a run holds its slot, in ms. */
  readonly runMs: number;
  /** Time of downstream calls per run, relative to the usual own time. */
  readonly callsRatio: number;
};

/**
 * Limits the concurrency below the usual limit where trials show that this has
 * a higher throughput. Without a slowdown there are no trials of lower limits,
 * and below the usual limit higher ones are tried all the time.
 */
export class LimitSearch {
  #limitCount = Infinity;
  #trial: LimitTrial | undefined;
  #slowWindowsCount = 0;
  #raiseRatio = RAISE_INITIAL_RATIO;
  #raiseAtMs = -Infinity;
  #lowerAtMs = -Infinity;
  #lowerIntervalMs = LOWER_INTERVAL_MS;
  #limitedAtMs = -Infinity;
  #lastInput: SearchInput | undefined;

  /** Learned limit; Infinity without one. */
  get limitCount(): number {
    return this.#limitCount;
  }

  /**
   * Returns the limit that applies, also that of a trial.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Limit; Infinity without one.
   */
  presentCount(nowMs: number): number {
    return this.#trial?.limitCount(nowMs) ?? this.#limitCount;
  }

  /**
   * Adds a run to the trial, if there is one.
   *
   * @param startedAtMs Monotonic time of its start, in ms.
   * @param ratio Own time relative to the usual one of the route.
   * @param runningCount Mean of the running requests at its start and end.
   */
  addRun(startedAtMs: number, ratio: number, runningCount: number): void {
    this.#trial?.add(startedAtMs, ratio, runningCount);
  }

  /**
   * Ends a trial that has a result. Called once per control interval.
   *
   * @param nowMs Monotonic time, in ms.
   * @param usualCount Limit without a learned one.
   */
  tick(nowMs: number, usualCount: number): void {
    const trial = this.#trial;
    trial?.tick(nowMs);
    if (trial?.result === undefined) {
      return;
    }
    this.#trial = undefined;
    const isRaise = trial.triedCount > this.#limitCount;
    if (trial.result !== "notBetter") {
      this.#limitCount = trial.triedCount < usualCount
        ? trial.triedCount
        : Infinity;
      this.#lowerIntervalMs = LOWER_INTERVAL_MS;
      this.#lowerAtMs = nowMs;
      this.#raiseAtMs = nowMs;
    }
    if (isRaise) {
      this.#endRaise(trial.result === "better", nowMs);
    } else if (trial.result === "notBetter") {
      this.#lowerAtMs = nowMs + this.#lowerIntervalMs;
      this.#lowerIntervalMs = Math.min(
        LOWER_INTERVAL_MAX_MS,
        2 * this.#lowerIntervalMs,
      );
    }
  }

  /**
   * Starts a trial if one is due. Called at the end of each window.
   *
   * @param nowMs Monotonic time, in ms.
   * @param input What the window has shown.
   */
  endWindow(nowMs: number, input: SearchInput): void {
    const isSlow = input.limitedRatio >= LOWER_LIMITED_MIN_RATIO &&
      input.slowdownRatio >= SLOWDOWN_MIN_RATIO;
    this.#lastInput = input;
    this.#slowWindowsCount = isSlow ? this.#slowWindowsCount + 1 : 0;
    const isLimited = input.limitedRatio >= RAISE_LIMITED_MIN_RATIO;
    if (isLimited || this.#limitCount === Infinity) {
      this.#limitedAtMs = nowMs;
    } else if (nowMs - this.#limitedAtMs > UNUSED_MAX_MS) {
      this.#limitCount = Infinity;
    }
    if (this.#trial !== undefined || !isLimited) {
      return;
    }
    if (
      this.#slowWindowsCount >= SLOW_WINDOWS_MIN_COUNT &&
      nowMs >= this.#lowerAtMs
    ) {
      this.#startLower(nowMs, input);
    } else if (this.#limitCount !== Infinity && nowMs >= this.#raiseAtMs) {
      this.#startRaise(nowMs, input);
    }
  }

  #endRaise(isBetter: boolean, nowMs: number): void {
    this.#raiseRatio = isBetter
      ? Math.min(RAISE_MAX_RATIO, 2 * this.#raiseRatio)
      : Math.max(RAISE_MIN_RATIO, this.#raiseRatio / 2);
    this.#raiseAtMs = isBetter ? nowMs : nowMs + RAISE_INTERVAL_MS;
    // An upstream that has recovered is not held back until the next window.
    if (isBetter && this.#limitCount !== Infinity && this.#lastInput) {
      this.#startRaise(nowMs, this.#lastInput);
    }
  }

  #startRaise(nowMs: number, input: SearchInput): void {
    const triedCount = Math.min(
      input.usualCount,
      Math.ceil(this.#limitCount * (1 + this.#raiseRatio)),
    );
    this.#start(triedCount, nowMs, input);
  }

  /**
   * Tries a lower limit. If the throughput does not rise beyond the best limit,
   * that one lies between the present limit divided by the slowdown, and the
   * present limit; the geometric mean of both is tried.
   */
  #startLower(nowMs: number, input: SearchInput): void {
    const limitCount = Math.min(this.#limitCount, input.usualCount);
    const ratio = Math.max(
      LOWER_MIN_RATIO,
      1 / Math.sqrt(input.slowdownRatio),
    );
    const triedCount = Math.max(1, Math.floor(limitCount * ratio));
    if (triedCount < limitCount) {
      this.#start(triedCount, nowMs, input);
    }
  }

  #start(triedCount: number, nowMs: number, input: SearchInput): void {
    this.#trial = new LimitTrial({
      limitCount: Math.min(this.#limitCount, input.usualCount),
      triedCount,
      startMs: nowMs,
      phaseMs: Math.min(
        PHASE_MAX_MS,
        Math.max(PHASE_MIN_MS, PHASE_RUNS * input.runMs),
      ),
      callsRatio: input.callsRatio,
    });
  }
}
