/** Figures of one run, to compare with the targets of the overload policy. */
import type { ImportanceClass } from "../../src/schemas/common_schema.ts";
import type { GoodputSeries } from "../goodput_plot.ts";
import type { RequestRecord } from "../../stand_ins/upstream_settings.ts";
import { type PoolPlan, SERVICE_MS, SLOW_SERVICE_MS } from "./deployments.ts";
import {
  BUCKET_MS,
  PRESSURE_END_MS,
  PRESSURE_START_MS,
  type RunResult,
} from "./experiment.ts";
import type { LoadBucket, StreamResult } from "./load_plan.ts";

const RECOVERED_RATIO = 0.95;
const SMOOTHING_BUCKETS_COUNT = 2;
const MS_PER_S = 1_000;

/** Sums of one class over one interval, from all load sources. */
export type ClassPoint = {
  readonly fromMs: number;
  readonly offeredCount: number;
  readonly succeededCount: number;
  readonly goodputPerS: number;
};

/** Figures of one run. */
export type RunSummary = {
  readonly deployment: string;
  readonly policy: string;
  readonly seed: number;
  /** Share of calls offered during the pressure that succeeded, by stream. */
  readonly successRatio: Readonly<Record<string, number>>;
  /** Slot time of calls that succeeded per available slot time, by pool. */
  readonly usefulRatio: Readonly<Record<string, number>>;
  /** Slot time of calls that did not succeed per slot time in use. */
  readonly wastedRatio: number;
  /** Highest ratio of requests to calls that reached the upstreams of a pool. */
  readonly attemptsRatio: number;
  /**
   * Time from the end of the pressure until the share of successes stays at 95%
   * of its earlier level or more; Infinity if never.
   */
  readonly recoveryMs: number;
  readonly wrongAnswersCount: number;
  readonly latencyP99Ms: Readonly<Record<string, number>>;
  /** Failed tries of the whole run by error kind, by stream. */
  readonly failures: Readonly<Record<string, Record<string, number>>>;
  readonly goodput: Readonly<
    Partial<Record<ImportanceClass, readonly ClassPoint[]>>
  >;
};

type Window = { fromMs: number; toMs: number };

function inWindow(bucket: LoadBucket, { fromMs, toMs }: Window): boolean {
  return bucket.fromMs >= fromMs && bucket.fromMs < toMs;
}

function sumRatio(streams: StreamResult[], window: Window): number {
  const buckets = streams.flatMap(({ buckets }) =>
    buckets.filter((bucket) => inWindow(bucket, window))
  );
  const offered = buckets.reduce((sum, one) => sum + one.offeredCount, 0);
  const succeeded = buckets.reduce((sum, one) => sum + one.succeededCount, 0);
  return offered === 0 ? 1 : succeeded / offered;
}

function findRecoveryMs(streams: StreamResult[], endMs: number): number {
  const before = sumRatio(streams, { fromMs: 0, toMs: PRESSURE_START_MS });
  let recoveredMs = Infinity;
  const widthMs = SMOOTHING_BUCKETS_COUNT * BUCKET_MS;
  for (let fromMs = endMs - widthMs; fromMs >= PRESSURE_END_MS;) {
    const ratio = sumRatio(streams, { fromMs, toMs: fromMs + widthMs });
    if (ratio < before * RECOVERED_RATIO) {
      break;
    }
    recoveredMs = fromMs - PRESSURE_END_MS;
    fromMs -= BUCKET_MS;
  }
  return recoveredMs;
}

function usefulRatios(
  run: RunResult,
  succeeded: ReadonlySet<string>,
): Record<string, number> {
  const durationMs = PRESSURE_END_MS - PRESSURE_START_MS;
  const entries = run.deployment.pools.map((pool) => {
    const requests = run.pressureRequests[pool.name] ?? [];
    const usefulMs = sumWork(
      requests.filter(({ token }) => succeeded.has(token)),
    );
    const slotsMs = pool.slotsCount * pool.endpointsCount * durationMs;
    return [pool.name, usefulMs / slotsMs] as const;
  });
  return Object.fromEntries(entries);
}

function sumWork(requests: readonly RequestRecord[]): number {
  return requests.reduce((sum, request) => sum + request.workMs, 0);
}

function wastedRatio(
  run: RunResult,
  succeeded: ReadonlySet<string>,
): number {
  const requests = Object.values(run.pressureRequests).flat();
  const wasted = requests.filter(({ token }) => !succeeded.has(token));
  return sumWork(wasted) / Math.max(1, sumWork(requests));
}

/** Highest ratio over the pools of attempts to calls that reached the pool. */
function attemptsRatio(run: RunResult): number {
  const ratios = Object.values(run.pressureRequests).map((requests) => {
    const calls = new Set(requests.map(({ token }) => token));
    return requests.length / Math.max(1, calls.size);
  });
  return Math.max(...ratios);
}

function goodputPoints(streams: StreamResult[]): ClassPoint[] {
  const points = new Map<number, ClassPoint>();
  for (const bucket of streams.flatMap(({ buckets }) => buckets)) {
    const known = points.get(bucket.fromMs);
    points.set(bucket.fromMs, {
      fromMs: bucket.fromMs,
      offeredCount: (known?.offeredCount ?? 0) + bucket.offeredCount,
      succeededCount: (known?.succeededCount ?? 0) + bucket.succeededCount,
      goodputPerS: (known?.goodputPerS ?? 0) +
        bucket.goodputCount * MS_PER_S / BUCKET_MS,
    });
  }
  return [...points.values()].sort((a, b) => a.fromMs - b.fromMs);
}

function groupBy<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
): Record<string, T[]> {
  const groups: Record<string, T[]> = {};
  for (const item of items) {
    (groups[keyOf(item)] ??= []).push(item);
  }
  return groups;
}

function mapValues<A, B>(
  record: Record<string, A>,
  change: (value: A) => B,
): Record<string, B> {
  return Object.fromEntries(
    Object.entries(record).map(([key, value]) => [key, change(value)]),
  );
}

function sumFailures(streams: StreamResult[]): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const { failures } of streams) {
    for (const [kind, count] of Object.entries(failures)) {
      sums[kind] = (sums[kind] ?? 0) + count;
    }
  }
  return sums;
}

/**
 * Computes the rate that a pool can serve during the pressure.
 *
 * @param pool Pool.
 * @param isSlowed Whether its service time rises during the pressure.
 * @returns Requests per second.
 */
export function capacityPerS(pool: PoolPlan, isSlowed: boolean): number {
  const serviceMs = isSlowed ? SLOW_SERVICE_MS : SERVICE_MS;
  return pool.slotsCount * pool.endpointsCount * MS_PER_S / serviceMs;
}

/**
 * Summarises a run.
 *
 * @param run Results of a run.
 * @returns Figures of the run.
 */
export function summarise(run: RunResult): RunSummary {
  const streams = run.sources.flat();
  const byName = groupBy(streams, ({ name }) => name);
  const pressure = { fromMs: PRESSURE_START_MS, toMs: PRESSURE_END_MS };
  const succeeded = new Set(
    streams.flatMap(({ succeededTokens }) => succeededTokens),
  );
  const endMs = Math.max(
    ...streams.flatMap(({ buckets }) =>
      buckets.filter(({ offeredCount }) => offeredCount > 0)
        .map(({ fromMs }) => fromMs)
    ),
  );
  return {
    deployment: run.deployment.name,
    policy: run.policy,
    seed: run.seed,
    successRatio: mapValues(byName, (some) => sumRatio(some, pressure)),
    usefulRatio: usefulRatios(run, succeeded),
    wastedRatio: wastedRatio(run, succeeded),
    attemptsRatio: attemptsRatio(run),
    recoveryMs: findRecoveryMs(streams, endMs),
    wrongAnswersCount: streams.reduce(
      (sum, { wrongAnswersCount }) => sum + wrongAnswersCount,
      0,
    ),
    latencyP99Ms: mapValues(
      byName,
      (some) => Math.max(...some.map(({ latencyMs }) => latencyMs.p99)),
    ),
    failures: mapValues(byName, sumFailures),
    goodput: mapValues(
      groupBy(streams, ({ importanceClass }) => importanceClass),
      goodputPoints,
    ),
  };
}

/**
 * Converts the goodput of a run to points over time.
 *
 * @param summary Figures of the run.
 * @returns Points by class, for the plot.
 */
export function goodputSeries({ goodput }: RunSummary): GoodputSeries {
  return mapValues(
    goodput,
    (points) =>
      (points ?? []).map(({ fromMs, goodputPerS }) =>
        [fromMs / MS_PER_S, goodputPerS] as const
      ),
  );
}
