/** Latency distribution of a recent period in bounded memory. */
import { build, type Histogram } from "hdr-histogram-js";

/** Quantiles of recent values and totals since the start. */
export type LatencySummary = {
  /** Values since the start. */
  readonly totalCount: number;
  /** Sum of all values since the start, in ms. */
  readonly sumMs: number;
  /** Quantile and its value in ms, over the present and the last interval. */
  readonly quantiles: readonly { quantile: number; valueMs: number }[];
};

// Values are recorded in units of 10 µs up to ten minutes with two significant
// digits, which takes about 11 kB per histogram. Finer units only add cost.
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
 * Records durations into the histogram of the present interval. Quantiles over
 * the whole life of a process would hide an overload that starts now.
 *
 * @example
 * const latency = new LatencyHistogram();
 * latency.record(12.5);
 * latency.summary().quantiles;
 */
export class LatencyHistogram {
  #present = createHistogram();
  #last: Histogram | undefined;
  #totalCount = 0;
  #sumMs = 0;

  /**
   * Records one duration.
   *
   * @param durationMs Duration in ms; values out of range are clamped.
   */
  record(durationMs: number): void {
    const clampedMs = Math.min(Math.max(durationMs, 0), HIGHEST_MS);
    this.#present.recordValue(Math.round(clampedMs * UNITS_PER_MS));
    this.#totalCount++;
    this.#sumMs += durationMs;
  }

  /** Starts a new interval; the values of the last one are kept beside it. */
  rotate(): void {
    const spare = this.#last ?? createHistogram();
    spare.reset();
    this.#last = this.#present;
    this.#present = spare;
  }

  /**
   * Computes the quantiles of the present and the last interval.
   *
   * @returns Quantiles and totals.
   */
  summary(): LatencySummary {
    const recent = createHistogram();
    recent.add(this.#present);
    if (this.#last !== undefined) {
      recent.add(this.#last);
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
