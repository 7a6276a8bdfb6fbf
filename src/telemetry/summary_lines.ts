/** Lines of a summary in Prometheus text format. */
import type { LatencySummary } from "./latency_histogram.ts";

/**
 * Formats one series of a summary.
 *
 * @param name Name of the metric.
 * @param labels Formatted labels of the series.
 * @param summary Values of the series.
 * @returns Lines for the quantiles, the sum and the count.
 */
export function summaryLines(
  name: string,
  labels: string,
  { quantiles, totalCount, sumMs }: LatencySummary,
): string[] {
  return [
    ...quantiles.map(({ quantile, valueMs }) =>
      `${name}{${labels},quantile="${quantile}"} ${valueMs}`
    ),
    `${name}_sum{${labels}} ${sumMs}`,
    `${name}_count{${labels}} ${totalCount}`,
  ];
}
