/** Trial of another concurrency limit, which alternates with the present one. */
import { RunSample } from "./run_sample.ts";

/** Phases of each limit after which a trial ends without a result. */
const PHASES_MAX_COUNT = 5;
/**
 * Phases of each limit after which a trial of a higher limit ends that has had
 * too few runs. A phase has three runs per slot, so that at a limit of 1 or 2 the
 * usual number of phases would never show anything.
 */
const SPARSE_PHASES_MAX_COUNT = 12;
/** Runs with each limit without which nothing is decided. */
const RUNS_MIN_COUNT = 30;
/** Standard errors by which the throughputs must differ. */
const ERRORS_MIN_COUNT = 2;

/**
 * Share of the lower limit that must run for a run to count. At a lower demand
 * neither limit has an effect.
 */
const DEMAND_MIN_RATIO = 0.9;

/**
 * Result of a trial. `perhapsBetter` means that a higher limit showed a higher
 * throughput, but not clearly.
 */
export type TrialResult = "better" | "perhapsBetter" | "notBetter";

/** Options of {@link LimitTrial}. */
export type LimitTrialOptions = {
  /** Present limit. */
  readonly limitCount: number;
  /** Limit that is tried. */
  readonly triedCount: number;
  readonly startMs: number;
  /** Time for which each of both limits applies in turn, in ms. */
  readonly phaseMs: number;
  /** Time of downstream calls per run, relative to the usual own time. */
  readonly callsRatio: number;
};

type Throughput = { value: number; error: number };

/**
 * Compares two limits by the throughput of the runs that start under them. The
 * limits alternate in short phases, so that a change of the upstream's speed
 * affects both alike.
 */
export class LimitTrial {
  readonly #options: LimitTrialOptions;
  readonly #present = new RunSample();
  readonly #tried = new RunSample();
  #result: TrialResult | undefined;

  /**
   * @param options Both limits and the length of the phases.
   */
  constructor(options: LimitTrialOptions) {
    this.#options = options;
  }

  /** Limit that is tried. */
  get triedCount(): number {
    return this.#options.triedCount;
  }

  /** Result; undefined while the trial runs. */
  get result(): TrialResult | undefined {
    return this.#result;
  }

  /**
   * Returns the limit that applies.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The tried limit in odd phases, beginning with the first.
   */
  limitCount(nowMs: number): number {
    const { limitCount, triedCount } = this.#options;
    return this.#isTried(nowMs) ? triedCount : limitCount;
  }

  /**
   * Adds a run that started during the trial.
   *
   * @param startedAtMs Monotonic time of its start, in ms.
   * @param ratio Own time relative to the usual one of the route.
   * @param runningCount Mean of the running requests at its start and end.
   */
  add(startedAtMs: number, ratio: number, runningCount: number): void {
    const { startMs, limitCount, triedCount } = this.#options;
    const runningMinCount = DEMAND_MIN_RATIO * Math.min(limitCount, triedCount);
    if (startedAtMs >= startMs && runningCount >= runningMinCount) {
      const sample = this.#isTried(startedAtMs) ? this.#tried : this.#present;
      sample.add(ratio, runningCount);
    }
  }

  /**
   * Decides whether the tried limit is better. Called once per control interval.
   *
   * @param nowMs Monotonic time, in ms.
   */
  tick(nowMs: number): void {
    const { startMs, phaseMs } = this.#options;
    const phasesCount = (nowMs - startMs) / phaseMs;
    if (phasesCount < 2) {
      return;
    }
    const isEnd = phasesCount >= 2 * PHASES_MAX_COUNT;
    if (
      this.#tried.count < RUNS_MIN_COUNT ||
      this.#present.count < RUNS_MIN_COUNT
    ) {
      const isSparseEnd = this.#isRaise
        ? phasesCount >= 2 * SPARSE_PHASES_MAX_COUNT
        : isEnd;
      this.#result = isSparseEnd ? "notBetter" : undefined;
      return;
    }
    const tried = this.#throughput(this.#tried);
    const present = this.#throughput(this.#present);
    const errors = (tried.value - present.value) /
      Math.hypot(tried.error, present.error);
    if (errors >= ERRORS_MIN_COUNT) {
      this.#result = "better";
    } else if (isEnd && this.#isRaise && errors > 0) {
      this.#result = "perhapsBetter";
    } else if (isEnd || errors <= -ERRORS_MIN_COUNT) {
      this.#result = "notBetter";
    }
  }

  get #isRaise(): boolean {
    return this.#options.triedCount > this.#options.limitCount;
  }

  #isTried(nowMs: number): boolean {
    const { startMs, phaseMs } = this.#options;
    return Math.floor((nowMs - startMs) / phaseMs) % 2 === 0;
  }

  /** Runs per usual own time, by Little's law. */
  #throughput(sample: RunSample): Throughput {
    const heldRatio = this.#options.callsRatio + sample.meanRatio;
    const value = sample.meanRunningCount / heldRatio;
    return { value, error: value * sample.errorRatio / heldRatio };
  }
}
