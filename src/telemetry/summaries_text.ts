/** Latency summaries in Prometheus text format. */
import type { LatencyHistogram, LatencySummary } from "./latency_histogram.ts";
import { METRICS } from "./metric_names.ts";
import type { RequestSeries } from "./request_metrics.ts";

type SummaryName = "goldcrest_request_latency_ms" | "goldcrest_queue_wait_ms";

// Tenants and classes come from schemas that allow no character to escape.
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
  const text = formatLabels(labels);
  return [
    ...summary.quantiles.map(({ quantile, valueMs }) =>
      `${name}{${text},quantile="${quantile}"} ${valueMs}`
    ),
    `${name}_sum{${text}} ${summary.sumMs}`,
    `${name}_count{${text}} ${summary.totalCount}`,
  ];
}

function header(name: SummaryName): string[] {
  return [`# HELP ${name} ${METRICS[name].help}`, `# TYPE ${name} summary`];
}

function queueLines(
  series: RequestSeries,
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
 * Writes the latency and queue wait of all series. `prom-client` computes its
 * own quantiles and cannot take those of a histogram, hence this writer.
 *
 * @param series Series per tenant, class and side.
 * @returns Lines with a final line end.
 */
export function summariesText(series: readonly RequestSeries[]): string {
  const latencies = series.flatMap((
    { side, tenant, importanceClass, latency },
  ) =>
    summaryLines(
      "goldcrest_request_latency_ms",
      { side, tenant, class: importanceClass },
      latency.summary(),
    )
  );
  const queueWaits = series.flatMap((one) =>
    one.queueWait === undefined ? [] : queueLines(one, one.queueWait)
  );
  const lines = [
    ...header("goldcrest_request_latency_ms"),
    ...latencies,
    ...header("goldcrest_queue_wait_ms"),
    ...queueWaits,
  ];
  return `${lines.join("\n")}\n`;
}
