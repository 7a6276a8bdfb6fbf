/** Distribution of recent latencies in bounded memory. */
import { build, type Histogram } from "hdr-histogram-js";

/** Quantiles of recent values and totals since the start. */
export type LatencySummary = {
  /** Number of values since the start. */
  readonly totalCount: number;
  /** Sum of all values since the start, in ms. */
  readonly sumMs: number;
  /** Quantiles and their values in ms, over the current and previous interval. */
  readonly quantiles: readonly { quantile: number; valueMs: number }[];
};

// Values are recorded in units of 10 µs up to ten minutes with two significant
// digits, which takes about 11 kB per histogram. Finer units would only
// add cost.
const UNITS_PER_MS = 100;
const HIGHEST_MS = 600_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

/**
 * Histogram of the durations in the current and the previous interval.
 * Quantiles since the start of the process would hide a recent overload.
 *
 * @example
 * const latency = new LatencyHistogram();
 * latency.record(12.5);
 * latency.summary().quantiles;
 */
export class LatencyHistogram {
  #current = createHistogram();
  #previous: Histogram | undefined;
  #totalCount = 0;
  #sumMs = 0;

  /**
   * Records one duration.
   *
   * @param durationMs Duration in ms. For the quantiles, it is clamped to the
   *   range from 0 to ten minutes; the sum adds it unchanged.
   */
  record(durationMs: number): void {
    const clampedMs = Math.min(Math.max(durationMs, 0), HIGHEST_MS);
    this.#current.recordValue(Math.round(clampedMs * UNITS_PER_MS));
    this.#totalCount++;
    this.#sumMs += durationMs;
  }

  /** Starts a new interval and keeps the values of the one that ends. */
  rotate(): void {
    const next = this.#previous ?? createHistogram();
    next.reset();
    this.#previous = this.#current;
    this.#current = next;
  }

  /**
   * Computes the quantiles over the current and the previous interval.
   *
   * @returns Quantiles, and totals since the start.
   */
  summary(): LatencySummary {
    const recent = createHistogram();
    recent.add(this.#current);
    if (this.#previous !== undefined) {
      recent.add(this.#previous);
    }
    return {
      totalCount: this.#totalCount,
      sumMs: this.#sumMs,
      quantiles: QUANTILES.map((quantile) => ({
        quantile,
        valueMs: recent.getValueAtPercentile(quantile * 100) / UNITS_PER_MS,
      })),
    };
  }
}
