/** Latency summaries in Prometheus text format. */
import type { LatencyHistogram, LatencySummary } from "./latency_histogram.ts";
import { METRICS } from "./metric_descriptions.ts";
import type { TenantSeries } from "./request_metrics.ts";

type SummaryName = "goldcrest_request_latency_ms" | "goldcrest_queue_wait_ms";

// Values need no escaping: the schemas of tenants and classes exclude the
// characters that would have to be escaped.
function formatLabels(labels: Record<string, string>): string {
  return Object.entries(labels)
    .map(([name, value]) => `${name}="${value}"`)
    .join(",");
}

function summaryLines(
  name: SummaryName,
  labels: Record<string, string>,
  summary: LatencySummary,
): string[] {
  const labelsText = formatLabels(labels);
  return [
    ...summary.quantiles.map(({ quantile, valueMs }) =>
      `${name}{${labelsText},quantile="${quantile}"} ${valueMs}`
    ),
    `${name}_sum{${labelsText}} ${summary.sumMs}`,
    `${name}_count{${labelsText}} ${summary.totalCount}`,
  ];
}

function headerLines(name: SummaryName): string[] {
  return [`# HELP ${name} ${METRICS[name].help}`, `# TYPE ${name} summary`];
}

function queueWaitLines(
  series: TenantSeries,
  queueWait: LatencyHistogram,
): string[] {
  const { tenant, importanceClass } = series;
  return summaryLines(
    "goldcrest_queue_wait_ms",
    { tenant, class: importanceClass },
    queueWait.summary(),
  );
}

/**
 * Formats the latency and queue wait of all series as summaries. `prom-client`
 * computes its own quantiles and cannot export those of a
 * {@link LatencyHistogram}.
 *
 * @param series Series per tenant, class and side.
 * @returns Prometheus text format with a final line end.
 */
export function summariesText(series: readonly TenantSeries[]): string {
  const latencies = series.flatMap((
    { side, tenant, importanceClass, latency },
  ) =>
    summaryLines(
      "goldcrest_request_latency_ms",
      { side, tenant, class: importanceClass },
      latency.summary(),
    )
  );
  const queueWaits = series.flatMap((entry) =>
    entry.queueWait === undefined ? [] : queueWaitLines(entry, entry.queueWait)
  );
  const lines = [
    ...headerLines("goldcrest_request_latency_ms"),
    ...latencies,
    ...headerLines("goldcrest_queue_wait_ms"),
    ...queueWaits,
  ];
  return `${lines.join("\n")}\n`;
}
