/** Concurrency limit with additive increase and multiplicative decrease. */
import type {
  ConcurrencyLimiter,
  LatencySample,
} from "./concurrency_limiter.ts";

const DECREASE_RATIO = 0.9;
/**
 * Least time between two decreases, because the requests of a burst end
 * together.
 */
const DECREASE_INTERVAL_MS = 100;
const SLOW_RATIO = 2;
/** Time constant with which the baseline follows a lasting change. */
const BASELINE_TIME_CONSTANT_MS = 10_000;
const LIMIT_MIN_RATIO = 0.25;

/**
 * Lowers the limit on slow or refused requests, and raises it on others while
 * at least half of it is in use.
 */
export class AimdLimiter implements ConcurrencyLimiter {
  readonly kind = "aimd";
  #slotsCount: number;
  #limitCount: number;
  #baselineMs = 0;
  #sampledMs: number | undefined;
  #decreasedMs = -DECREASE_INTERVAL_MS;

  /**
   * @param slotsCount Announced slots of the upstream; the initial limit.
   */
  constructor(slotsCount: number) {
    this.#slotsCount = slotsCount;
    this.#limitCount = slotsCount;
  }

  /** @inheritdoc */
  limit(): number {
    return Math.max(1, Math.floor(this.#limitCount));
  }

  /** @inheritdoc */
  record(sample: LatencySample, nowMs: number): void {
    const slow = this.#baselineMs > 0 &&
      sample.latencyMs > this.#baselineMs * SLOW_RATIO;
    this.#updateBaseline(sample.latencyMs, nowMs);
    if (slow || sample.overloaded) {
      this.#decrease(nowMs);
      return;
    }
    if (sample.inFlightCount * 2 >= this.#limitCount) {
      const raised = this.#limitCount + 1 / this.#limitCount;
      this.#limitCount = Math.min(this.#slotsCount, raised);
    }
  }

  /** @inheritdoc */
  resize(slotsCount: number): void {
    this.#limitCount *= slotsCount / this.#slotsCount;
    this.#slotsCount = slotsCount;
  }

  #updateBaseline(latencyMs: number, nowMs: number): void {
    const elapsedMs = nowMs - (this.#sampledMs ?? nowMs);
    this.#sampledMs = nowMs;
    const weight = 1 - Math.exp(-elapsedMs / BASELINE_TIME_CONSTANT_MS);
    this.#baselineMs = this.#baselineMs === 0
      ? latencyMs
      : this.#baselineMs + weight * (latencyMs - this.#baselineMs);
  }

  #decrease(nowMs: number): void {
    if (nowMs - this.#decreasedMs < DECREASE_INTERVAL_MS) {
      return;
    }
    this.#decreasedMs = nowMs;
    const lowest = Math.max(1, this.#slotsCount * LIMIT_MIN_RATIO);
    this.#limitCount = Math.max(lowest, this.#limitCount * DECREASE_RATIO);
  }
}
