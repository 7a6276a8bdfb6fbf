/** Figures of a run, for comparison with the targets of the design page. */
import {
  IMPORTANCE_CLASSES,
  type ImportanceClass,
} from "../../src/schemas/common_schema.ts";
import { BUCKET_MS, type Metrics } from "./metrics.ts";
import type { GoodputSeries } from "../goodput_plot.ts";
import type { CallPlan, RouteLoad, Scenario } from "./scenario.ts";

const BASELINE_FROM_MS = 2_000;
const WINDOW_S = 10;
const RECOVERED_RATIO = 0.95;

/** Figures of one run. */
export type RunReport = {
  /** Share of the critical requests offered under pressure that succeeded. */
  criticalRatio: number;
  /** Useful slot time under pressure, relative to what the slots can serve. */
  goodputRatio: number;
  /** The same ratio of the pool for which it is lowest. */
  goodputLowestRatio: number;
  /** Slot time of tries that failed per slot time of the whole run. */
  wastedRatio: number;
  /**
   * Time from the end of the pressure until the success ratio stays within 5% of
   * its earlier level.
   */
  recoveryMs: number;
  /** Highest ratio of attempts to original requests at any pool over 10 s. */
  amplificationRatio: number;
  routes: Record<string, number>;
  pools: Record<string, number>;
  errors: Record<string, number>;
  /** Complete requests per second by class and interval. */
  goodputPerS: Record<ImportanceClass, number[]>;
};

/** Adds a call's slot time at each pool; returns that at its own pool. */
function addSlotTimes(
  slotTimesMs: Map<string, number>,
  { plan, scenario }: { plan: CallPlan; scenario: Scenario },
): number {
  const slowRatio = scenario.pools[plan.pool]?.slowRatio ?? 1;
  let slotMs = plan.workMs * slowRatio;
  for (const call of plan.calls) {
    slotMs += addSlotTimes(slotTimesMs, { plan: call, scenario });
  }
  slotTimesMs.set(plan.pool, (slotTimesMs.get(plan.pool) ?? 0) + slotMs);
  return slotMs;
}

/** Share of busy slots per pool when classes are served by importance. */
function idealUtilisation(scenario: Scenario): Map<string, number> {
  const used = new Map(Object.keys(scenario.pools).map((pool) => [pool, 0]));
  const order = (load: RouteLoad) => IMPORTANCE_CLASSES.indexOf(load.class);
  const loads = Object.values(scenario.routes)
    .sort((a, b) => order(a) - order(b));
  for (const load of loads) {
    const slotTimesMs = new Map<string, number>();
    addSlotTimes(slotTimesMs, { plan: load.call, scenario });
    const uses = [...slotTimesMs].map(([pool, slotMs]) => {
      const rules = scenario.pools[pool] as Scenario["pools"][string];
      const slots = rules.slotsCount * rules.endpointsCount;
      return { pool, share: load.surgeRatePerS * slotMs / 1_000 / slots };
    });
    const served = Math.min(
      1,
      ...uses.map(({ pool, share }) => (1 - (used.get(pool) ?? 0)) / share),
    );
    for (const { pool, share } of uses) {
      used.set(pool, (used.get(pool) ?? 0) + share * served);
    }
  }
  return used;
}

function poolGoodput(
  scenario: Scenario,
  metrics: Metrics,
): Map<string, { usefulMs: number; idealMs: number }> {
  const lengthMs = scenario.pressureUntilMs - scenario.pressureFromMs;
  return new Map(
    [...idealUtilisation(scenario)].map(([pool, share]) => {
      const rules = scenario.pools[pool] as Scenario["pools"][string];
      const slots = rules.slotsCount * rules.endpointsCount;
      return [pool, {
        usefulMs: metrics.usefulMs.get(pool) ?? 0,
        idealMs: share * slots * lengthMs,
      }];
    }),
  );
}

function recoveryMs(scenario: Scenario, metrics: Metrics): number {
  const firstBucket = BASELINE_FROM_MS / BUCKET_MS;
  const pressureBucket = scenario.pressureFromMs / BUCKET_MS;
  const baseline = metrics.arrivals.slice(firstBucket, pressureBucket);
  const sum = (key: "offered" | "succeeded") =>
    baseline.reduce((total, outcomes) => total + outcomes[key], 0);
  const recoveredRatio = RECOVERED_RATIO * sum("succeeded") / sum("offered");
  const endBucket = scenario.pressureUntilMs / BUCKET_MS;
  const lastBelow = metrics.arrivals.findLastIndex((outcomes, bucket) =>
    bucket >= endBucket &&
    outcomes.succeeded / outcomes.offered < recoveredRatio
  );
  return lastBelow < 0 ? 0 : (lastBelow + 1 - endBucket) * BUCKET_MS;
}

function amplification(metrics: Metrics): number {
  const ratios = [...metrics.originals].flatMap(([pool, originals]) => {
    const attempts = metrics.attempts.get(pool) ?? [];
    const sum = (list: number[], from: number) =>
      list.slice(from, from + WINDOW_S).reduce((a, b) => a + (b ?? 0), 0);
    return originals.slice(0, -WINDOW_S).map((_, from) =>
      sum(attempts, from) / sum(originals, from)
    );
  });
  return Math.max(...ratios);
}

function goodputPerS(metrics: Metrics): RunReport["goodputPerS"] {
  const ofClass = (name: ImportanceClass) => {
    const list = metrics.succeededByClass.get(name) ?? [];
    return Array.from(
      { length: metrics.arrivals.length },
      (_, bucket) => (list[bucket] ?? 0) * 1_000 / BUCKET_MS,
    );
  };
  return Object.fromEntries(
    IMPORTANCE_CLASSES.map((name) => [name, ofClass(name)]),
  ) as RunReport["goodputPerS"];
}

/**
 * Computes the figures of a run.
 *
 * @param scenario Scenario of the run.
 * @param metrics Counts of the run.
 * @returns Figures of the run.
 */
export function reportRun(scenario: Scenario, metrics: Metrics): RunReport {
  const critical = { offered: 0, succeeded: 0 };
  const routes: Record<string, number> = {};
  for (const [route, { offered, succeeded }] of metrics.routesUnderPressure) {
    routes[route] = succeeded / offered;
    if (scenario.routes[route]?.class === "critical") {
      critical.offered += offered;
      critical.succeeded += succeeded;
    }
  }
  const goodput = poolGoodput(scenario, metrics);
  const pools: Record<string, number> = {};
  const total = { usefulMs: 0, idealMs: 0 };
  for (const [pool, { usefulMs, idealMs }] of goodput) {
    pools[pool] = usefulMs / idealMs;
    total.usefulMs += usefulMs;
    total.idealMs += idealMs;
  }
  return {
    criticalRatio: critical.succeeded / critical.offered,
    goodputRatio: total.usefulMs / total.idealMs,
    goodputLowestRatio: Math.min(...Object.values(pools)),
    wastedRatio: metrics.wastedMs / metrics.spentMs,
    recoveryMs: recoveryMs(scenario, metrics),
    amplificationRatio: amplification(metrics),
    routes,
    pools,
    errors: Object.fromEntries(metrics.errors),
    goodputPerS: goodputPerS(metrics),
  };
}

/**
 * Converts the goodput of a run to points over time.
 *
 * @param report Report of the run.
 * @returns Points by class, for the plot.
 */
export function goodputSeries({ goodputPerS }: RunReport): GoodputSeries {
  const entries = Object.entries(goodputPerS).map(([name, rates]) => [
    name,
    rates.map((perS, bucket) => [bucket * BUCKET_MS / 1_000, perS] as const),
  ]);
  return Object.fromEntries(entries) as GoodputSeries;
}
