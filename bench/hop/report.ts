/** Table and targets of the hop benchmark. */
import type { Figures, Quantiles } from "./measure.ts";

/** Comparison of the daemons with the other variants at one rate. */
export type Comparison = {
  readonly ratePerS: number;
  /** 99th percentile of the daemons minus that of direct calls, in ms. */
  readonly addedP99Ms: number;
  /** The same difference for the bare proxies, in ms. */
  readonly bareAddedP99Ms: number;
  /** Processor time per call relative to the bare proxies. */
  readonly processorRatio: number;
};

const ADDED_P99_TARGET_MS = 1;
const PROCESSOR_RATIO_TARGET = 1.25;
const COLUMN_WIDTH = 12;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function formatQuantiles({ p50, p99, p999 }: Quantiles): string[] {
  return [p50, p99, p999].map((valueMs) => valueMs.toFixed(2));
}

function formatRow(cells: readonly string[]): string {
  return cells.map((cell) => cell.padStart(COLUMN_WIDTH)).join("");
}

function figuresRow(figures: Figures): string {
  const processorUs = figures.processorUsPerCall;
  return formatRow([
    String(figures.ratePerS),
    figures.variant,
    String(figures.completeCount),
    String(figures.failedCount),
    ...formatQuantiles(figures.latencyMs),
    ...formatQuantiles(figures.serviceLatencyMs),
    processorUs.map((us) => us.toFixed(0)).join("+"),
  ]);
}

/**
 * Formats the figures as a table.
 *
 * @param all Figures of all rates and variants.
 * @returns Lines of text; latencies in ms, processor time in µs per call.
 */
export function formatFigures(all: readonly Figures[]): string {
  const header = formatRow([
    "calls/s",
    "variant",
    "complete",
    "failed",
    "p50",
    "p99",
    "p99.9",
    "sent p50",
    "sent p99",
    "sent p99.9",
    "cpu us/call",
  ]);
  return [header, ...all.map(figuresRow)].join("\n");
}

/**
 * Compares the variants at one rate.
 *
 * @param atRate Figures of the three variants at one rate.
 * @returns Added latency and ratio of processor time.
 */
export function compare(atRate: readonly Figures[]): Comparison {
  const find = (name: Figures["variant"]) =>
    atRate.find((figures) => figures.variant === name) as Figures;
  const direct = find("direct");
  const bare = find("pass-through");
  const daemons = find("daemons");
  return {
    ratePerS: daemons.ratePerS,
    addedP99Ms: daemons.latencyMs.p99 - direct.latencyMs.p99,
    bareAddedP99Ms: bare.latencyMs.p99 - direct.latencyMs.p99,
    processorRatio: sum(daemons.processorUsPerCall) /
      sum(bare.processorUsPerCall),
  };
}

/**
 * Formats a comparison with the targets.
 *
 * @param comparison Comparison at one rate.
 * @returns One line.
 */
export function formatComparison(comparison: Comparison): string {
  const { ratePerS, addedP99Ms, bareAddedP99Ms, processorRatio } = comparison;
  return `${ratePerS} calls/s: added p99 ${addedP99Ms.toFixed(2)} ms ` +
    `(target ${ADDED_P99_TARGET_MS} ms, bare ${
      bareAddedP99Ms.toFixed(2)
    } ms), ` +
    `processor time ${processorRatio.toFixed(2)} times bare ` +
    `(target ${PROCESSOR_RATIO_TARGET})`;
}
