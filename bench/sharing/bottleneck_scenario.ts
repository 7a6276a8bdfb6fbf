/** Load of deployments whose calls share one bottleneck pool. */
import type { ScenarioRoute } from "../recovery/scenario.ts";

const SLOTS_COUNT = 39;
const WIDE_SLOTS_COUNT = 100;
/** Speeds of the upstreams of the bottleneck pool. */
const SPEEDS = [0.7, 0.7, 1, 1.6];
const WAVE_PERIOD_MS = 13_000;
const WAVE_SWING = 0.55;
/**
 * Phase of the wave in each data centre, in periods. They differ, but not so
 * far that the waves cancel each other.
 */
const WAVE_PHASES = [0, 0.08, 0.16, 0.3];

/** Route of a scenario with what its answers are worth. */
export type ValuedRoute = ScenarioRoute & {
  readonly value: number;
  readonly lateValue: number;
};

/** Load on one bottleneck pool. */
export type BottleneckScenario = {
  readonly pools: readonly {
    readonly name: string;
    readonly slotsCounts: readonly number[];
    readonly speeds: readonly number[];
  }[];
  readonly bottleneck: string;
  readonly dataCentresCount: number;
  readonly routes: readonly ValuedRoute[];
  /** Shares of the requests that the tenants send; empty without tenants. */
  readonly tenantShares: readonly number[];
  /** Offered load relative to the mean, by route, data centre and time. */
  readonly loadFactor: (
    routeName: string,
    dataCentre: number,
    nowMs: number,
  ) => number;
  /** Share of the callers that retry without waiting. */
  readonly impatientRatio: number;
  /** Slots in use, as a share, from which runs take longer, and the slope. */
  readonly knee: { readonly ratio: number; readonly slope: number };
  /** Whether other workloads slow the upstreams of the pool down at times. */
  readonly hasNeighbours: boolean;
};

function repeat(count: number, value: number): number[] {
  return new Array<number>(count).fill(value);
}

function widePool(name: string, count: number) {
  return {
    name,
    slotsCounts: repeat(count, WIDE_SLOTS_COUNT),
    speeds: repeat(count, 1),
  };
}

function callsInPairs(route: string, count: number): ScenarioRoute["calls"] {
  return repeat(count / 2, 2).map((perStep) => ({
    route,
    count: perStep,
    isParallel: true,
  }));
}

/** Called route of the bottleneck pool. */
function calledRoute(name: string, pool: string, workMs: number): ValuedRoute {
  return {
    name,
    pool,
    priority: 1,
    idempotent: true,
    workMs,
    timeoutMs: 700,
    latencyGoalMs: 302,
    callerTimeoutMs: 700,
    ratePerS: 0,
    calls: [],
    value: 0,
    lateValue: 0,
  };
}

function waveFactor(dataCentre: number, nowMs: number): number {
  const phase = nowMs / WAVE_PERIOD_MS + (WAVE_PHASES[dataCentre] ?? 0);
  return 1 + WAVE_SWING * Math.sin(2 * Math.PI * phase);
}

/** Conversion deployment of docs/hard_load.md: waves in four data centres. */
export const CONVERSION_SCENARIO: BottleneckScenario = {
  pools: [
    { name: "ledger", slotsCounts: repeat(4, SLOTS_COUNT), speeds: SPEEDS },
    widePool("jobs", 25),
    widePool("orders", 15),
    widePool("scans", 15),
  ],
  bottleneck: "ledger",
  dataCentresCount: 4,
  routes: [
    {
      name: "job-lookup",
      pool: "jobs",
      priority: 2,
      idempotent: true,
      workMs: 20,
      timeoutMs: 5_008,
      latencyGoalMs: 1_203,
      callerTimeoutMs: 5_008,
      ratePerS: 928,
      calls: callsInPairs("entry", 8),
      value: 1,
      lateValue: 0.3,
    },
    {
      name: "order-submit",
      pool: "orders",
      priority: 0,
      idempotent: false,
      workMs: 20,
      timeoutMs: 5_009,
      latencyGoalMs: 1_203,
      callerTimeoutMs: 5_009,
      ratePerS: 334,
      calls: callsInPairs("entry", 4),
      value: 3,
      lateValue: 0.6,
    },
    {
      name: "credit-issue",
      pool: "ledger",
      priority: 2,
      idempotent: false,
      workMs: 41,
      timeoutMs: 807,
      latencyGoalMs: 202,
      callerTimeoutMs: 807,
      ratePerS: 111,
      calls: [],
      value: 1,
      lateValue: 0.3,
    },
    {
      name: "scan-upload",
      pool: "scans",
      priority: 1,
      idempotent: false,
      workMs: 60,
      timeoutMs: 2_025,
      latencyGoalMs: 405,
      callerTimeoutMs: 2_025,
      ratePerS: 104,
      calls: [],
      value: 2,
      lateValue: 0.6,
    },
    calledRoute("entry", "ledger", 15),
  ],
  tenantShares: [],
  loadFactor: (_, dataCentre, nowMs) => waveFactor(dataCentre, nowMs),
  impatientRatio: 0.2,
  knee: { ratio: 0.7, slope: 0.6 },
  hasNeighbours: true,
};

const BURST_PERIOD_MS = 13_000;

/** Load of the heating deployment: bursts of the least, then the most important. */
function burstFactor(routeName: string, nowMs: number): number {
  const phaseMs = nowMs % BURST_PERIOD_MS;
  if (routeName === "alarm-quittung") {
    return phaseMs < 6_000 ? 2.3 : 1;
  }
  return routeName === "plan-senden" && phaseMs >= 6_000 && phaseMs < 9_500
    ? 1.75
    : 1;
}

const HEATING_ROUTE = { timeoutMs: 5_001, callerTimeoutMs: 5_001 };

/** Heating deployment of docs/hard_load.md: bursts in three data centres. */
export const HEATING_SCENARIO: BottleneckScenario = {
  ...CONVERSION_SCENARIO,
  pools: [
    { name: "regler", slotsCounts: repeat(4, SLOTS_COUNT), speeds: SPEEDS },
    widePool("lesen", 25),
    widePool("alarme", 21),
    widePool("verlauf", 15),
  ],
  bottleneck: "regler",
  dataCentresCount: 3,
  routes: [
    {
      ...HEATING_ROUTE,
      name: "raumtemp-lesen",
      pool: "lesen",
      priority: 1,
      idempotent: true,
      workMs: 20,
      latencyGoalMs: 1_500,
      ratePerS: 376,
      calls: callsInPairs("befehl", 4),
      value: 1.2,
      lateValue: 0.35,
    },
    {
      ...HEATING_ROUTE,
      name: "alarm-quittung",
      pool: "alarme",
      priority: 2,
      idempotent: false,
      workMs: 20,
      latencyGoalMs: 3_000,
      ratePerS: 139,
      calls: callsInPairs("befehl", 4),
      value: 1.8,
      lateValue: 0.53,
    },
    {
      name: "plan-senden",
      pool: "regler",
      priority: 0,
      idempotent: false,
      workMs: 132,
      timeoutMs: 1_501,
      latencyGoalMs: 406,
      callerTimeoutMs: 1_501,
      ratePerS: 56,
      calls: [],
      value: 2.2,
      lateValue: 0.27,
    },
    {
      ...HEATING_ROUTE,
      name: "plan-verlauf",
      pool: "verlauf",
      priority: 1,
      idempotent: true,
      workMs: 60,
      latencyGoalMs: 1_200,
      ratePerS: 180,
      calls: [],
      value: 1.2,
      lateValue: 0.35,
    },
    calledRoute("befehl", "regler", 40),
  ],
  // A few large tenants and many small ones.
  tenantShares: [0.3, 0.2, ...repeat(20, 0.025)],
  loadFactor: (routeName, _, nowMs) => burstFactor(routeName, nowMs),
};
