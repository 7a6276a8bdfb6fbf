/** Latencies of the requests of callers by tenant and priority class. */
import { LatencyHistogram } from "./latency_histogram.ts";
import { OTHER_TENANTS } from "./request_metrics.ts";
import { summaryLines } from "./summary_lines.ts";

/**
 * Maximum number of series with the name of a tenant. A histogram takes up to
 * 22 kB, so they take at most 2.8 MB.
 */
const SERIES_MAX_COUNT = 128;
/** Classes with their own series; all less important ones share the last. */
const CLASSES_MAX_COUNT = 8;
const METRIC = "goldcrest_fleet_tenant_latency_ms";

type Series = {
  readonly tenant: string;
  readonly priorityClass: number;
  readonly latency: LatencyHistogram;
};

/** Escapes a value for a label in Prometheus text format. */
function escapeLabel(value: string): string {
  return value.replace(/[\\"]/g, "\\$&").replace(/\n/g, "\\n");
}

/**
 * Histograms of the tenants that were seen first; the tenants after them share
 * one series per class.
 *
 * @example
 * latencies.record("amber", 0, 31.2);
 * latencies.lines();
 */
export class TenantLatencies {
  readonly #series = new Map<string, Series>();

  /**
   * Records a finished request of a caller.
   *
   * @param tenantName Tenant of the request.
   * @param priority Priority of the request.
   * @param durationMs Time from arrival to end, in ms.
   */
  record(tenantName: string, priority: number, durationMs: number): void {
    const priorityClass = Math.min(priority, CLASSES_MAX_COUNT - 1);
    const key = `${priorityClass} ${tenantName}`;
    const series = this.#series.get(key) ??
      (this.#series.size < SERIES_MAX_COUNT
        ? this.#add(key, tenantName, priorityClass)
        : this.#sharedSeries(priorityClass));
    series.latency.record(durationMs);
  }

  /** Starts a new interval of the quantiles. */
  rotate(): void {
    for (const { latency } of this.#series.values()) {
      latency.rotate();
    }
  }

  /**
   * Formats all series.
   *
   * @returns Lines in Prometheus text format; none before the first request.
   */
  lines(): string[] {
    if (this.#series.size === 0) {
      return [];
    }
    return [
      `# HELP ${METRIC} Time from arrival to end of callers' requests`,
      `# TYPE ${METRIC} summary`,
      ...[...this.#series.values()].flatMap(
        ({ tenant, priorityClass, latency }) =>
          summaryLines(
            METRIC,
            `tenant="${escapeLabel(tenant)}",class="${priorityClass}"`,
            latency.summary(),
          ),
      ),
    ];
  }

  #sharedSeries(priorityClass: number): Series {
    // Other keys begin with a number.
    const key = `other ${priorityClass}`;
    return this.#series.get(key) ??
      this.#add(key, OTHER_TENANTS, priorityClass);
  }

  #add(key: string, tenant: string, priorityClass: number): Series {
    const series = { tenant, priorityClass, latency: new LatencyHistogram() };
    this.#series.set(key, series);
    return series;
  }
}
