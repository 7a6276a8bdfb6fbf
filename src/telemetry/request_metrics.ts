/**
 * Counts and latencies of finished requests: one series for each tenant, class
 * and side, and one for each pool, class and side.
 */
import { errorAnswer } from "../errors/error_kinds.ts";
import {
  IMPORTANCE_CLASSES,
  type ImportanceClass,
} from "../schemas/common_schema.ts";
import type { ClassCounters } from "../schemas/status_schema.ts";
import { LatencyHistogram } from "./latency_histogram.ts";
import type { RequestObserver, RequestRecord } from "./request_observer.ts";

/** Side of a daemon that handled a request. */
export type Side = RequestRecord["side"];

/** Counts and latencies of the requests of one tenant, class and side. */
export type TenantSeries = {
  readonly side: Side;
  readonly tenant: string;
  readonly importanceClass: ImportanceClass;
  offeredCount: number;
  completeCount: number;
  notRunCount: number;
  unknownCount: number;
  readonly latency: LatencyHistogram;
  /** Time in the queue; only on the inbound side. */
  readonly queueWait: LatencyHistogram | undefined;
};

/** Counts of the requests of one pool, class and side. */
export type PoolSeries = {
  readonly side: Side;
  readonly pool: string;
  readonly importanceClass: ImportanceClass;
  /** Number of requests by result. */
  readonly counts: Map<RequestRecord["result"], number>;
  attemptsCount: number;
};

/** Options of {@link RequestMetrics}. */
export type RequestMetricsOptions = {
  /** Maximum number of tenants with their own series; all others share one. */
  tenantsMaxCount?: number;
};

/** Tenant label of the shared series. */
export const OTHER_TENANTS = "other_tenants";

// Each tenant has up to 12 histograms: for each of the four classes, the latency
// on both sides and the queue wait. Each histogram keeps two intervals of about
// 11 kB. The bound keeps the worst case under 10 MB; 64 tenants were measured at
// 16 MB.
const TENANTS_MAX_COUNT = 32;
const POOLS_MAX_COUNT = 256;
const OTHER_POOLS = "other_pools";

const CLASS_INDEX: Readonly<Record<ImportanceClass, number>> = {
  critical: 0,
  important: 1,
  standard: 2,
  background: 3,
};

function seriesIndex(record: RequestRecord): number {
  const sideOffset = record.side === "inbound" ? IMPORTANCE_CLASSES.length : 0;
  return sideOffset + CLASS_INDEX[record.importanceClass];
}

/**
 * Finds or creates the row of a name, which holds its series by
 * {@link seriesIndex}. Names over the bound share one row.
 */
function findOrCreateRow<T>(
  rows: Map<string, T[]>,
  name: string,
  bound: { maxCount: number; otherName: string },
): { row: T[]; name: string } {
  const known = rows.get(name);
  if (known !== undefined) {
    return { row: known, name };
  }
  const label = rows.size < bound.maxCount ? name : bound.otherName;
  const row = rows.get(label) ?? [];
  rows.set(label, row);
  return { row, name: label };
}

/**
 * Records finished requests. Recording takes two lookups by name, one of the
 * tenant and one of the pool; labels are formatted only when the metrics are read.
 *
 * @example
 * const metrics = new RequestMetrics();
 * metrics.record(record);
 * metrics.counters();
 */
export class RequestMetrics implements RequestObserver {
  readonly #tenants = new Map<string, TenantSeries[]>();
  readonly #pools = new Map<string, PoolSeries[]>();
  readonly #tenantBound: { maxCount: number; otherName: string };

  /**
   * @param options Bound on the number of tenants.
   */
  constructor(options: RequestMetricsOptions = {}) {
    const { tenantsMaxCount = TENANTS_MAX_COUNT } = options;
    this.#tenantBound = { maxCount: tenantsMaxCount, otherName: OTHER_TENANTS };
  }

  /** @inheritdoc */
  record(record: RequestRecord): void {
    this.#recordTenant(record);
    this.#recordPool(record);
  }

  /** Starts a new interval of the latency quantiles. */
  rotate(): void {
    for (const { latency, queueWait } of this.listTenantSeries()) {
      latency.rotate();
      queueWait?.rotate();
    }
  }

  /** Lists the series per tenant, class and side. */
  listTenantSeries(): TenantSeries[] {
    return [...this.#tenants.values()].flatMap((row) => row.filter(Boolean));
  }

  /** Lists the series per pool, class and side. */
  listPoolSeries(): PoolSeries[] {
    return [...this.#pools.values()].flatMap((row) => row.filter(Boolean));
  }

  /**
   * Sums the counts of both sides for `/status`. A request that this daemon both
   * sends and serves is counted twice.
   *
   * @returns Counters by tenant and class.
   */
  counters(): ClassCounters[] {
    const sums = new Map<string, ClassCounters>();
    for (const series of this.listTenantSeries()) {
      const { tenant, importanceClass } = series;
      const key = `${tenant} ${importanceClass}`;
      const sum = sums.get(key) ?? emptyCounters(tenant, importanceClass);
      sum.offeredCount += series.offeredCount;
      sum.completeCount += series.completeCount;
      sum.notRunCount += series.notRunCount;
      sum.unknownCount += series.unknownCount;
      sums.set(key, sum);
    }
    return [...sums.values()];
  }

  #recordTenant(record: RequestRecord): void {
    const { row, name } = findOrCreateRow(
      this.#tenants,
      record.tenant,
      this.#tenantBound,
    );
    const index = seriesIndex(record);
    const series = row[index] ??= createTenantSeries(record, name);
    series.offeredCount++;
    countOutcome(series, record.result);
    series.latency.record(record.latencyMs);
    series.queueWait?.record(record.queueMs);
  }

  #recordPool(record: RequestRecord): void {
    const { row, name } = findOrCreateRow(this.#pools, record.pool, {
      maxCount: POOLS_MAX_COUNT,
      otherName: OTHER_POOLS,
    });
    const index = seriesIndex(record);
    const series = row[index] ??= {
      side: record.side,
      pool: name,
      importanceClass: record.importanceClass,
      counts: new Map(),
      attemptsCount: 0,
    };
    const previousCount = series.counts.get(record.result) ?? 0;
    series.counts.set(record.result, previousCount + 1);
    series.attemptsCount += record.attemptsCount;
  }
}

function emptyCounters(
  tenant: string,
  importanceClass: ImportanceClass,
): ClassCounters {
  return {
    tenant,
    class: importanceClass,
    offeredCount: 0,
    completeCount: 0,
    notRunCount: 0,
    unknownCount: 0,
  };
}

function createTenantSeries(
  record: RequestRecord,
  tenant: string,
): TenantSeries {
  return {
    side: record.side,
    tenant,
    importanceClass: record.importanceClass,
    offeredCount: 0,
    completeCount: 0,
    notRunCount: 0,
    unknownCount: 0,
    latency: new LatencyHistogram(),
    queueWait: record.side === "inbound" ? new LatencyHistogram() : undefined,
  };
}

function countOutcome(
  series: TenantSeries,
  result: RequestRecord["result"],
): void {
  if (result === "complete") {
    series.completeCount++;
    return;
  }
  if (result === "cancelled" || result === "broken") {
    series.unknownCount++;
    return;
  }
  if (errorAnswer(result).outcome === "not-run") {
    series.notRunCount++;
    return;
  }
  series.unknownCount++;
}
