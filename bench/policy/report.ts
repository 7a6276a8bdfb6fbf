/** Figures of a run against the targets of the design page. */
import {
  IMPORTANCE_CLASSES,
  type ImportanceClass,
} from "../../src/schemas/common_schema.ts";
import { BUCKET_MS, type Metrics } from "./metrics.ts";
import type { GoodputSeries } from "../goodput_plot.ts";
import type { CallPlan, RouteLoad, Scenario } from "./scenario.ts";

const PREVIOUS_FROM_MS = 2_000;
const WINDOW_S = 10;
const WITHIN_RATIO = 0.95;

/** Figures of one run. */
export type RunReport = {
  /** Successful critical requests per offered one under pressure. */
  criticalRatio: number;
  /** Useful slot time under pressure per time that the slots can serve. */
  goodputRatio: number;
  /** The same of the pool with the lowest ratio. */
  goodputLowestRatio: number;
  /** Upstream time on tries that failed per upstream time of the whole run. */
  wastedRatio: number;
  /** Time from the end of the pressure until success is within 5% for good. */
  recoveryMs: number;
  /** Most attempts per original at any pool over 10 s. */
  amplificationRatio: number;
  routes: Record<string, number>;
  pools: Record<string, number>;
  errors: Record<string, number>;
  /** Complete requests per second by class and interval. */
  goodputPerS: Record<ImportanceClass, number[]>;
};

/** Adds the slot time that a call needs at each pool, and returns its own. */
function addHoldTimes(
  holds: Map<string, number>,
  { plan, scenario }: { plan: CallPlan; scenario: Scenario },
): number {
  const slowRatio = scenario.pools[plan.pool]?.slowRatio ?? 1;
  let holdMs = plan.workMs * slowRatio;
  for (const call of plan.calls) {
    holdMs += addHoldTimes(holds, { plan: call, scenario });
  }
  holds.set(plan.pool, (holds.get(plan.pool) ?? 0) + holdMs);
  return holdMs;
}

/** Slot use per pool when classes are served in their order, as a share. */
function idealUse(scenario: Scenario): Map<string, number> {
  const used = new Map(Object.keys(scenario.pools).map((pool) => [pool, 0]));
  const order = (load: RouteLoad) => IMPORTANCE_CLASSES.indexOf(load.class);
  const loads = Object.values(scenario.routes)
    .sort((a, b) => order(a) - order(b));
  for (const load of loads) {
    const holds = new Map<string, number>();
    addHoldTimes(holds, { plan: load.call, scenario });
    const uses = [...holds].map(([pool, holdMs]) => {
      const rules = scenario.pools[pool] as Scenario["pools"][string];
      const slots = rules.slotsCount * rules.endpointsCount;
      return { pool, share: load.surgeRatePerS * holdMs / 1_000 / slots };
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
    [...idealUse(scenario)].map(([pool, share]) => {
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
  const firstBucket = PREVIOUS_FROM_MS / BUCKET_MS;
  const pressureBucket = scenario.pressureFromMs / BUCKET_MS;
  const previous = metrics.arrivals.slice(firstBucket, pressureBucket);
  const sum = (key: "offered" | "done") =>
    previous.reduce((total, outcomes) => total + outcomes[key], 0);
  const lowest = WITHIN_RATIO * sum("done") / sum("offered");
  const endBucket = scenario.pressureUntilMs / BUCKET_MS;
  const lastBad = metrics.arrivals.findLastIndex((outcomes, bucket) =>
    bucket >= endBucket && outcomes.done / outcomes.offered < lowest
  );
  return lastBad < 0 ? 0 : (lastBad + 1 - endBucket) * BUCKET_MS;
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
    const list = metrics.doneByClass.get(name) ?? [];
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
 * @returns Figures against the targets.
 */
export function reportRun(scenario: Scenario, metrics: Metrics): RunReport {
  const critical = { offered: 0, done: 0 };
  const routes: Record<string, number> = {};
  for (const [route, { offered, done }] of metrics.routesUnderPressure) {
    routes[route] = done / offered;
    if (scenario.routes[route]?.class === "critical") {
      critical.offered += offered;
      critical.done += done;
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
    criticalRatio: critical.done / critical.offered,
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
 * Gives the goodput of a run as points over time.
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
