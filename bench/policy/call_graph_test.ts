import assert from "node:assert/strict";
import { test } from "node:test";
import { CallGraph } from "./call_graph.ts";
import { Clients } from "./clients.ts";
import { RankPolicy, UnlimitedPolicy } from "./policies.ts";
import { reportRun } from "./report.ts";
import type { Scenario } from "./scenario.ts";

const SCENARIO: Scenario = {
  name: "small",
  overloadPreference: 0.5,
  dataCentres: ["a", "b"],
  clientLatencyMs: 1,
  pressureFromMs: 4_000,
  pressureUntilMs: 8_000,
  endMs: 20_000,
  clientTriesCount: 3,
  clientRetryDelayMs: 100,
  tenants: ["t"],
  pools: {
    front: {
      endpointsCount: 2,
      slotsCount: 20,
      connectionsMaxCount: 200,
      slowRatio: 1,
    },
  },
  routes: {
    order: {
      class: "critical",
      idempotent: false,
      call: { pool: "front", workMs: 100, calls: [] },
      ratePerS: 100,
      surgeRatePerS: 100,
      deadlineMs: 2_000,
    },
    view: {
      class: "background",
      idempotent: true,
      call: { pool: "front", workMs: 100, calls: [] },
      ratePerS: 150,
      surgeRatePerS: 1_100,
      deadlineMs: 2_000,
    },
  },
};

function run(policy: RankPolicy | UnlimitedPolicy, seed: number) {
  const graph = new CallGraph(SCENARIO, policy, { seed });
  new Clients(graph, { seed }).start();
  graph.events.runUntil(SCENARIO.endMs + 10_000);
  return { report: reportRun(SCENARIO, graph.metrics), graph };
}

// Otherwise differences between policies could come from chance.
test("two runs with the same seed give the same report", () => {
  assert.deepEqual(
    run(new RankPolicy(0.5), 1).report,
    run(new RankPolicy(0.5), 1).report,
  );
});

test("every original request has one result and releases its slot", () => {
  for (const policy of [new RankPolicy(0.5), new UnlimitedPolicy()]) {
    const { graph } = run(policy, 2);
    const sum = (list: readonly (number | undefined)[]) =>
      list.reduce<number>((total, count) => total + (count ?? 0), 0);
    const offered = sum(graph.metrics.arrivals.map(({ offered }) => offered));
    assert.equal(offered, sum(graph.metrics.originals.get("front") ?? []));
    for (const { upstream } of graph.deployment.daemons) {
      assert.equal(upstream.admission.load().inFlightCount, 0);
      assert.equal(upstream.admission.load().queuedCount, 0);
    }
  }
});

test("the rank policy meets the design page's targets (section 1.7) on a small overloaded pool", () => {
  const { report } = run(new RankPolicy(0.5), 3);
  assert.ok(report.criticalRatio >= 0.99, `${report.criticalRatio}`);
  assert.ok(report.goodputRatio >= 0.9, `${report.goodputRatio}`);
  assert.ok(report.wastedRatio <= 0.05, `${report.wastedRatio}`);
  assert.ok(report.recoveryMs <= 5_000, `${report.recoveryMs}`);
  assert.ok(report.amplificationRatio <= 1.1, `${report.amplificationRatio}`);
});
