/** Concurrency limit that follows the ratio of baseline to recent latency. */
import type {
  ConcurrencyLimiter,
  LatencySample,
} from "./concurrency_limiter.ts";

const WINDOW_MS = 100;
const WINDOW_SAMPLES_MIN_COUNT = 10;
/** Time constant with which the baseline follows a lasting change. */
const BASELINE_TIME_CONSTANT_MS = 10_000;
/** Ratio of recent latency to the baseline above which the limit falls. */
const TOLERANCE_RATIO = 1.5;
const DECREASE_RATIO = 0.8;
/**
 * A decrease of the limit is kept when it lowers the latency by at least half
 * as many percent. Otherwise the upstream is slow for another reason, and a
 * lower limit would only leave slots unused.
 */
const KEPT_LATENCY_RATIO = 1 - (1 - DECREASE_RATIO) / 2;
const INCREASE_RATIO = 0.2;
/** Lowest ratio of limit to slots, because latency alone proves no overload. */
const LIMIT_MIN_RATIO = 0.25;

/** Decrease whose effect on the latency is not known yet. */
type Trial = { limitCount: number; latencyMs: number; untilMs: number };

/**
 * Lowers the limit while recent latency exceeds the baseline and falls with the
 * limit, and raises it back to the slots otherwise.
 *
 * @example
 * const limiter = new GradientLimiter(100);
 * limiter.record({ latencyMs: 20, inFlightCount: 90, overloaded: false }, nowMs);
 */
export class GradientLimiter implements ConcurrencyLimiter {
  readonly kind = "gradient";
  #slotsCount: number;
  #limitCount: number;
  #baselineMs = 0;
  #windowStartMs: number | undefined;
  #windowSumMs = 0;
  #windowCount = 0;
  #busy = false;
  #trial: Trial | undefined;

  /**
   * @param slotsCount Announced slots of the upstream; the initial limit.
   */
  constructor(slotsCount: number) {
    this.#slotsCount = slotsCount;
    this.#limitCount = slotsCount;
  }

  /** @inheritdoc */
  limit(): number {
    return Math.max(1, Math.round(this.#limitCount));
  }

  /** @inheritdoc */
  record(sample: LatencySample, nowMs: number): void {
    this.#windowStartMs ??= nowMs;
    this.#windowSumMs += sample.latencyMs;
    this.#windowCount++;
    this.#busy ||= sample.inFlightCount * 2 >= this.#limitCount;
    const elapsedMs = nowMs - this.#windowStartMs;
    if (elapsedMs < WINDOW_MS || this.#windowCount < WINDOW_SAMPLES_MIN_COUNT) {
      return;
    }
    this.#adapt(this.#windowSumMs / this.#windowCount, { elapsedMs, nowMs });
    this.#windowStartMs = nowMs;
    this.#windowSumMs = 0;
    this.#windowCount = 0;
    this.#busy = false;
  }

  /** @inheritdoc */
  resize(slotsCount: number): void {
    this.#limitCount *= slotsCount / this.#slotsCount;
    this.#slotsCount = slotsCount;
    this.#trial = undefined;
  }

  #adapt(recentMs: number, at: { elapsedMs: number; nowMs: number }): void {
    if (this.#trial !== undefined) {
      this.#endTrial(this.#trial, { recentMs, nowMs: at.nowMs });
      return;
    }
    this.#updateBaseline(recentMs, at.elapsedMs);
    if (recentMs <= TOLERANCE_RATIO * this.#baselineMs) {
      this.#setLimit(
        this.#limitCount + INCREASE_RATIO * Math.sqrt(this.#limitCount),
      );
      return;
    }
    if (this.#busy) {
      this.#startTrial(recentMs, at.nowMs);
    }
  }

  #updateBaseline(recentMs: number, elapsedMs: number): void {
    const weight = 1 - Math.exp(-elapsedMs / BASELINE_TIME_CONSTANT_MS);
    const baselineMs = this.#baselineMs === 0
      ? recentMs
      : this.#baselineMs + weight * (recentMs - this.#baselineMs);
    // The baseline falls at once to at most 1.5 times the recent latency, so
    // that the latency under low load sets it without a delay.
    this.#baselineMs = Math.min(baselineMs, recentMs * TOLERANCE_RATIO);
  }

  #startTrial(latencyMs: number, nowMs: number): void {
    // Requests that were running before the decrease have ended by then.
    const untilMs = nowMs + 2 * Math.max(WINDOW_MS, latencyMs);
    this.#trial = { limitCount: this.#limitCount, latencyMs, untilMs };
    this.#setLimit(this.#limitCount * DECREASE_RATIO);
  }

  #endTrial(
    trial: Trial,
    { recentMs, nowMs }: { recentMs: number; nowMs: number },
  ): void {
    if (nowMs < trial.untilMs) {
      return;
    }
    this.#trial = undefined;
    if (recentMs > trial.latencyMs * KEPT_LATENCY_RATIO) {
      this.#baselineMs = recentMs;
      this.#setLimit(trial.limitCount);
    }
  }

  #setLimit(limitCount: number): void {
    const lowest = Math.max(1, this.#slotsCount * LIMIT_MIN_RATIO);
    this.#limitCount = Math.min(
      this.#slotsCount,
      Math.max(lowest, limitCount),
    );
  }
}
