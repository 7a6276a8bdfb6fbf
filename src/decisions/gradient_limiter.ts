/** Concurrency limit that follows the ratio of usual to recent latency. */
import type {
  ConcurrencyLimiter,
  LatencySample,
} from "./concurrency_limiter.ts";

const WINDOW_MS = 100;
const WINDOW_SAMPLES_MIN_COUNT = 10;
/** The usual latency follows the recent one, so that a lasting change becomes usual. */
const USUAL_LATENCY_PERIOD_MS = 10_000;
/** Recent latency may exceed the usual one by this factor before the limit falls. */
const TOLERANCE_RATIO = 1.5;
const GRADIENT_MIN_RATIO = 0.5;
const SMOOTHING_RATIO = 0.2;
/** The limit never falls below this share of the slots, as latency alone is no proof of overload. */
const LIMIT_MIN_RATIO = 0.25;

/**
 * Lowers the limit while recent latency exceeds the usual latency, and raises
 * it back to the slots otherwise.
 *
 * @example
 * const limiter = new GradientLimiter(100);
 * limiter.record({ latencyMs: 20, inFlightCount: 90, overloaded: false }, nowMs);
 */
export class GradientLimiter implements ConcurrencyLimiter {
  readonly kind = "gradient";
  #slotsCount: number;
  #limitCount: number;
  #usualMs = 0;
  #windowStartMs: number | undefined;
  #windowSumMs = 0;
  #windowCount = 0;
  #busy = false;

  /**
   * @param slotsCount Announced slots of the upstream; the first limit.
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
    this.#adapt(this.#windowSumMs / this.#windowCount, elapsedMs);
    this.#windowStartMs = nowMs;
    this.#windowSumMs = 0;
    this.#windowCount = 0;
    this.#busy = false;
  }

  /** @inheritdoc */
  resize(slotsCount: number): void {
    this.#limitCount *= slotsCount / this.#slotsCount;
    this.#slotsCount = slotsCount;
  }

  #adapt(recentMs: number, elapsedMs: number): void {
    const share = 1 - Math.exp(-elapsedMs / USUAL_LATENCY_PERIOD_MS);
    this.#usualMs = this.#usualMs === 0
      ? recentMs
      : this.#usualMs + share * (recentMs - this.#usualMs);
    // The usual latency falls at once, so that a quiet start sets the base.
    this.#usualMs = Math.min(this.#usualMs, recentMs * TOLERANCE_RATIO);
    const gradient = Math.min(
      1,
      Math.max(
        GRADIENT_MIN_RATIO,
        TOLERANCE_RATIO * this.#usualMs / Math.max(recentMs, 0.001),
      ),
    );
    if (gradient < 1 && !this.#busy) {
      return;
    }
    const wanted = this.#limitCount * gradient + Math.sqrt(this.#limitCount);
    const next = this.#limitCount +
      SMOOTHING_RATIO * (wanted - this.#limitCount);
    const lowest = Math.max(1, this.#slotsCount * LIMIT_MIN_RATIO);
    this.#limitCount = Math.min(this.#slotsCount, Math.max(lowest, next));
  }
}
