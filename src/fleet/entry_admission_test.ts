import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../core/random.ts";
import { CallGraph } from "../decisions/routing/call_graph.ts";
import { FleetRoutes } from "../decisions/routing/fleet_routes.ts";
import type { UpstreamFigures } from "../decisions/sharing/pool_figures.ts";
import { RetryBudget } from "../decisions/retries/retry_budget.ts";
import {
  type UpstreamChannel,
  UpstreamLoad,
} from "../link/upstream_channel.ts";
import type { FleetConfig, FleetRoute } from "../schemas/fleet_schema.ts";
import type { UpstreamState } from "../schemas/link_schema.ts";
import { NullLogger } from "../telemetry/logger.ts";
import { EntryAdmission } from "./entry_admission.ts";
import { ChannelTable } from "./channel_table.ts";

function route(name: string, pool: string, priority: number): FleetRoute {
  return {
    name,
    host: `${name}.example`,
    pathPrefix: "/",
    idempotent: true,
    timeoutMs: 800,
    latencyGoalMs: 500,
    attemptsMax: 2,
    priority,
    isPublic: false,
    targets: [{ pool, weight: 1 }],
  };
}

const CONFIG: FleetConfig = {
  version: 1,
  routes: [
    route("read", "logbook", 2),
    route("vote", "certify", 0),
    route("bundle", "mediatheque", 0),
    route("roster", "inscription", 2),
    route("enrol", "inscription", 2),
  ],
  pools: ["logbook", "certify", "mediatheque", "inscription"].map((name) => ({
    name,
    healthPath: "/health",
    connectionsMaxCount: 100,
  })),
  limits: {
    headerMaxBytes: 1,
    bodyMaxBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
};

const SETTLING_STEPS_COUNT = 60;
const COUNTED_STEPS_COUNT = 600;
/** Requests of each route in one control interval. */
const OFFERED_COUNT = 10;
/** Downstream calls to the pool `inscription` that a read or a vote makes. */
const CALLS_COUNT = 8;
/** Weight of one control interval in the moving average of the load. */
const LOAD_WEIGHT = 0.35;

/** Retries per request of a pool. */
const RETRY_RATIO = 0.2;

/** Creates an admission and the state of the only upstream of `inscription`. */
function createAdmission(figures?: UpstreamFigures) {
  const random = new SeededRandom(1);
  const channels = new ChannelTable({ ownDataCentre: "a", random });
  const state: UpstreamState = {
    upstreamId: "i-1",
    isServing: true,
    isStopping: false,
    limitCount: 30,
    isCold: false,
    busyRatio: 0,
    refusedRatio: 0,
    configVersion: 1,
    isWatching: false,
    reservesRoom: false,
    calls: [],
  };
  const channel: UpstreamChannel = {
    member: {
      name: "one",
      dataCentre: "a",
      pool: "inscription",
      link: { host: "127.0.0.1", port: 1 },
    },
    state,
    isSuspect: false,
    load: new UpstreamLoad(),
    figures,
    send: () => ({ cancel() {} }),
  };
  channels.add(channel);
  const graph = new CallGraph();
  graph.update("two", [
    ["read", "roster", CALLS_COUNT],
    ["vote", "roster", CALLS_COUNT],
  ]);
  const log = new NullLogger();
  const admission = new EntryAdmission({
    channels,
    graph,
    random,
    log,
    retryRatio: RETRY_RATIO,
    coordinatesPools: true,
  });
  return { admission, state };
}

/**
 * Simulates the admission of requests whose downstream calls load the pool
 * `inscription`.
 *
 * @param capacityCount Calls that the pool can run in one control interval.
 * @returns Admitted share of each route once the levels have settled.
 */
function admittedShares(capacityCount: number): Record<string, number> {
  const { admission, state } = createAdmission();
  const routes = new FleetRoutes(CONFIG);
  const admitted: Record<string, number> = { read: 0, vote: 0, bundle: 0 };
  for (
    let step = 0;
    step < SETTLING_STEPS_COUNT + COUNTED_STEPS_COUNT;
    step++
  ) {
    let callsCount = 0;
    for (const name of Object.keys(admitted)) {
      for (let index = 0; index < OFFERED_COUNT; index++) {
        const isAdmitted =
          admission.findRefusingPool(routes.route(name) as FleetRoute) ===
            undefined;
        callsCount += isAdmitted && name !== "bundle" ? CALLS_COUNT : 0;
        admitted[name]! += isAdmitted && step >= SETTLING_STEPS_COUNT
          ? 1 / (COUNTED_STEPS_COUNT * OFFERED_COUNT)
          : 0;
      }
    }
    state.busyRatio += LOAD_WEIGHT *
      (callsCount / capacityCount - state.busyRatio);
    admission.step(routes);
  }
  return admitted;
}

test("overload of a called pool sheds the least important of the requests that call it", () => {
  const shares = admittedShares(110);
  assert.ok((shares["read"] ?? 1) < 0.5, `read ${shares["read"]}`);
  assert.ok((shares["vote"] ?? 0) > 0.95, `vote ${shares["vote"]}`);
});

test("requests that do not call the overloaded pool are not shed", () => {
  assert.ok((admittedShares(50)["bundle"] ?? 0) > 0.999);
});

// A fixed share of all requests would be several times the capacity, so that no
// request completes.
test("at 80 times the capacity no class is starved, and the pool gets what it can run", () => {
  const capacityCount = 2;
  const { read = 0, vote = 0 } = admittedShares(capacityCount);
  assert.ok(read >= (read + vote) / 2 / 4, `read ${read}, vote ${vote}`);
  const callsCount = (read + vote) * OFFERED_COUNT * CALLS_COUNT;
  assert.ok(callsCount < 1.5 * capacityCount, `${callsCount} calls`);
  assert.ok(callsCount > 0.5 * capacityCount, `${callsCount} calls`);
});

// Guards against a tenant whose own priority changes nothing, and against one that
// takes the share of the others: its requests are counted in their own class.
test("under overload the priority of a tenant decides, not that of the route", () => {
  const { admission, state } = createAdmission();
  const routes = new FleetRoutes(CONFIG);
  const roster = routes.route("roster") as FleetRoute;
  const admitted = { important: 0, other: 0 };
  for (let step = 0; step < COUNTED_STEPS_COUNT; step++) {
    let runsCount = 0;
    for (let index = 0; index < OFFERED_COUNT; index++) {
      const isImportant = index < 3;
      const pool = admission.findRefusingPool(roster, {
        priority: isImportant ? 0 : 2,
      });
      if (pool === undefined) {
        runsCount++;
        admitted[isImportant ? "important" : "other"] += 1;
      }
    }
    state.busyRatio += LOAD_WEIGHT *
      (runsCount / (OFFERED_COUNT / 2) - state.busyRatio);
    admission.step(routes);
  }
  assert.ok(admitted.important > 0.95 * 3 * COUNTED_STEPS_COUNT);
  assert.ok(admitted.other < 0.6 * 7 * COUNTED_STEPS_COUNT);
});

/**
 * Simulates requests of several flows of one class, of which the pool can run
 * half.
 *
 * @param offeredCounts Requests of each flow in one control interval.
 * @returns Admitted share of each flow.
 */
function admittedFlowShares(
  offeredCounts: Readonly<Record<string, number>>,
): Record<string, number> {
  const { admission, state } = createAdmission();
  const routes = new FleetRoutes(CONFIG);
  const roster = routes.route("roster") as FleetRoute;
  const names = Object.keys(offeredCounts);
  const totalCount = names
    .reduce((sum, name) => sum + (offeredCounts[name] as number), 0);
  const admitted = new Map(names.map((name) => [name, 0]));
  for (let step = 0; step < COUNTED_STEPS_COUNT; step++) {
    let runsCount = 0;
    for (const tenantName of names) {
      for (
        let index = 0;
        index < (offeredCounts[tenantName] as number);
        index++
      ) {
        if (admission.findRefusingPool(roster, { tenantName }) === undefined) {
          runsCount++;
          admitted.set(tenantName, (admitted.get(tenantName) as number) + 1);
        }
      }
    }
    state.busyRatio += LOAD_WEIGHT *
      (runsCount / (totalCount / 2) - state.busyRatio);
    admission.step(routes);
  }
  return Object.fromEntries(names.map((name) => [
    name,
    (admitted.get(name) as number) /
    ((offeredCounts[name] as number) * COUNTED_STEPS_COUNT),
  ]));
}

// Guards against a tenant that sends many times its usual and takes the room of
// the others: they were refused as often as it.
test("under overload a tenant that sends much is refused before those that send little", () => {
  const { hot, ...others } = admittedFlowShares({ hot: 40, a: 3, b: 3, c: 4 });
  for (const share of Object.values(others)) {
    assert.ok(share > 0.95, `${share}`);
  }
  assert.ok(hot !== undefined && hot > 0.25 && hot < 0.5, `${hot}`);
});

test("under overload equal flows of one class are admitted alike", () => {
  const shares = Object.values(admittedFlowShares({ a: 12, b: 12, c: 12 }));
  assert.ok(Math.max(...shares) - Math.min(...shares) < 0.05, `${shares}`);
});

const REFUSED_RATIO = 0.55;
const SENDS_MAX_COUNT = 8;
const ATTEMPTS_MAX_COUNT = 2;
const TICK_MS = 100;
/** Control intervals without refusals, and then with them. */
const CALM_STEPS_COUNT = 100;
const REFUSING_STEPS_COUNT = 80;

/**
 * Simulates requests whose calls are refused by the upstream with a fixed
 * probability, and sent again within the retry budget.
 *
 * @param isReported Whether the daemons know the share of refused requests.
 * @returns Requests of each route of which all calls succeeded, per offered
 *   one, and calls that were refused for good, per offered request.
 */
function completedShares(isReported: boolean) {
  const { admission, state } = createAdmission();
  const routes = new FleetRoutes(CONFIG);
  const random = new SeededRandom(2);
  const budget = new RetryBudget({
    ratio: RETRY_RATIO,
    windowMs: 10_000,
    slackCount: 0,
  });
  const completed: Record<string, number> = { read: 0, vote: 0, enrol: 0 };
  let lostCallsCount = 0;
  let nowMs = 0;
  const call = (isRefusing: boolean) => {
    budget.recordRequest("inscription", nowMs);
    for (let sent = 1; isRefusing; sent++) {
      if (random.nextFloat() >= REFUSED_RATIO) {
        break;
      }
      const options = { nowMs, daemonsCount: 1 };
      const mayRetry = isReported
        ? sent < SENDS_MAX_COUNT &&
          budget.takeForRefused("inscription", options)
        : sent < ATTEMPTS_MAX_COUNT &&
          budget.take("inscription", { ...options, cost: 1 });
      if (!mayRetry) {
        lostCallsCount++;
        return false;
      }
    }
    return true;
  };
  for (let step = 0; step < CALM_STEPS_COUNT + REFUSING_STEPS_COUNT; step++) {
    const isRefusing = step >= CALM_STEPS_COUNT;
    state.refusedRatio = isRefusing && isReported ? REFUSED_RATIO : 0;
    for (const name of Object.keys(completed)) {
      for (let index = 0; index < OFFERED_COUNT; index++) {
        if (admission.findRefusingPool(routes.route(name)!) !== undefined) {
          continue;
        }
        let callsCount = name === "enrol" ? 0 : CALLS_COUNT;
        while (callsCount > 0 && call(isRefusing)) {
          callsCount--;
        }
        if (name === "enrol" && random.nextFloat() < REFUSED_RATIO) {
          continue;
        }
        completed[name]! += isRefusing && callsCount === 0
          ? 1 / (REFUSING_STEPS_COUNT * OFFERED_COUNT)
          : 0;
      }
    }
    nowMs += TICK_MS;
    admission.step(routes);
  }
  const offeredCount = 3 * OFFERED_COUNT * REFUSING_STEPS_COUNT;
  return { ...completed, lostRatio: lostCallsCount / offeredCount } as {
    [name in "read" | "vote" | "enrol" | "lostRatio"]: number;
  };
}

// Guards against requests that run for seconds and then fail for one of their
// calls, because the upstreams of a pool refuse about half of what arrives.
test("while upstreams refuse a share of all requests, only those are admitted that retries can complete", () => {
  const unaware = completedShares(false);
  const aware = completedShares(true);
  assert.ok(unaware.lostRatio > 0.5, `${unaware.lostRatio}`);
  assert.ok(aware.lostRatio < 0.01, `${aware.lostRatio}`);
  assert.ok(aware.vote > 2 * unaware.vote, `${aware.vote}`);
  assert.ok(aware.enrol >= unaware.enrol, `${aware.enrol}`);
  assert.ok(aware.read >= unaware.read, `${aware.read}`);
});

/** Control intervals after which no request is recent. */
const FORGETTING_STEPS_COUNT = 400;

// Guards against calls whose error answers are never retried, and figures of
// long ago in the metrics, at a daemon whose callers have gone to others while
// their requests were shed.
test("a contested pool that no caller uses any more is not shedding", () => {
  const { admission, state } = createAdmission({
    capacityPerS: 100,
    busyRatio: 3,
    offeredPerS: [0, 0, 400],
    reportIntervalMs: 250,
    atMs: performance.now(),
  });
  const routes = new FleetRoutes(CONFIG);
  state.busyRatio = 3;
  for (let step = 0; step < SETTLING_STEPS_COUNT; step++) {
    for (const name of ["read", "enrol", "roster"]) {
      admission.findRefusingPool(routes.route(name)!);
    }
    admission.step(routes);
  }
  assert.equal(admission.isShedding(routes.route("roster")!), true);
  assert.equal(admission.isCoordinated("inscription"), true);
  state.busyRatio = 0;
  for (let step = 0; step < FORGETTING_STEPS_COUNT; step++) {
    admission.step(routes);
  }
  assert.equal(admission.isShedding(routes.route("roster")!), false);
  assert.equal(admission.isCoordinated("inscription"), false);
  assert.equal(admission.figures("inscription"), undefined);
  assert.equal(admission.level("inscription"), undefined);
});
