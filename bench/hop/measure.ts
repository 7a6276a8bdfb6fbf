/** Measures one variant at one rate. */
import { decodeFromCompressedBase64, type Histogram } from "hdr-histogram-js";
import type { StartedProgram } from "../../stand_ins/program_group.ts";
import { loadResultSchema, UNITS_PER_MS } from "./load_messages.ts";
import { processorTimeMs } from "./processor_time.ts";
import type { Variant, VariantName } from "./variants.ts";

/** Latency quantiles in ms. */
export type Quantiles = { p50: number; p99: number; p999: number };

/** Figures of one variant at one rate, over all rounds. */
export type Figures = {
  readonly variant: VariantName;
  readonly ratePerS: number;
  readonly sentCount: number;
  readonly completeCount: number;
  readonly failedCount: number;
  /** From the intended send time. */
  readonly latencyMs: Quantiles;
  /** From the actual send time, without delays inside the load process. */
  readonly serviceLatencyMs: Quantiles;
  /** Processor time of each hop per complete call, in µs. */
  readonly processorUsPerCall: readonly number[];
};

/** Load of one measurement. */
export type Load = {
  readonly ratePerS: number;
  readonly durationMs: number;
  readonly seed: number;
};

const US_PER_MS = 1_000;

function quantilesOf(histogram: Histogram): Quantiles {
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
  return { p50: at(50), p99: at(99), p999: at(99.9) };
}

/** Sums up the rounds of one variant at one rate. */
export class Measurement {
  readonly variant: Variant;
  readonly #ratePerS: number;
  readonly #loaders: readonly StartedProgram[];
  readonly #latencies: Histogram[] = [];
  readonly #serviceLatencies: Histogram[] = [];
  readonly #processorMs: number[];
  #sentCount = 0;
  #completeCount = 0;

  /**
   * @param variant Path to the upstream.
   * @param loaders Load processes that share the rate.
   * @param ratePerS Calls per second over all load processes.
   */
  constructor(
    variant: Variant,
    loaders: readonly StartedProgram[],
    ratePerS: number,
  ) {
    this.variant = variant;
    this.#loaders = loaders;
    this.#ratePerS = ratePerS;
    this.#processorMs = variant.hops.map(() => 0);
  }

  /**
   * Offers the load once.
   *
   * @param load Duration and seed; the rate is that of the measurement.
   */
  async runRound(load: Omit<Load, "ratePerS">): Promise<void> {
    const before = this.variant.hops.map(({ pid }) => processorTimeMs(pid));
    const answers = await Promise.all(
      this.#loaders.map((loader, index) =>
        loader.ask({
          origin: this.variant.origin,
          ratePerS: this.#ratePerS / this.#loaders.length,
          durationMs: load.durationMs,
          seed: load.seed + index,
        })
      ),
    );
    this.variant.hops.forEach(({ pid }, index) => {
      const usedMs = processorTimeMs(pid) - (before[index] ?? 0);
      this.#processorMs[index] = (this.#processorMs[index] ?? 0) + usedMs;
    });
    for (const answer of answers) {
      this.#add(answer);
    }
  }

  /** Figures over all rounds. */
  figures(): Figures {
    return {
      variant: this.variant.name,
      ratePerS: this.#ratePerS,
      sentCount: this.#sentCount,
      completeCount: this.#completeCount,
      failedCount: this.#sentCount - this.#completeCount,
      latencyMs: quantilesOf(sumOf(this.#latencies)),
      serviceLatencyMs: quantilesOf(sumOf(this.#serviceLatencies)),
      processorUsPerCall: this.#processorMs.map((usedMs) =>
        usedMs * US_PER_MS / Math.max(1, this.#completeCount)
      ),
    };
  }

  #add(answer: unknown): void {
    const result = loadResultSchema.parse(answer);
    this.#sentCount += result.sentCount;
    this.#completeCount += result.completeCount;
    this.#latencies.push(decodeFromCompressedBase64(result.latency));
    this.#serviceLatencies.push(
      decodeFromCompressedBase64(result.serviceLatency),
    );
  }
}

function sumOf(histograms: readonly Histogram[]): Histogram {
  const [first, ...rest] = histograms as [Histogram, ...Histogram[]];
  for (const histogram of rest) {
    first.add(histogram);
  }
  return first;
}
