import assert from "node:assert/strict";
import { test } from "node:test";
import { playBottleneck } from "./bottleneck_fleet.ts";
import {
  type BottleneckScenario,
  CONVERSION_SCENARIO,
  HEATING_SCENARIO,
} from "./bottleneck_scenario.ts";

const MEASURED_FROM_MS = 5_000;
const END_MS = 18_000;
const SEED = 5;
/** A route or tenant may be served this much less often than the mean. */
const STARVED_RATIO = 0.25;

function play(
  scenario: BottleneckScenario,
  isUncoordinated: boolean,
  changes: { loadRatio?: number; lossAtMs?: number } = {},
) {
  const results = playBottleneck({
    scenario,
    seed: SEED,
    loadRatio: 1,
    measuredFromMs: MEASURED_FROM_MS,
    endMs: END_MS,
    isUncoordinated,
    ...changes,
  });
  const routes = scenario.routes.filter(({ ratePerS }) => ratePerS > 0);
  const rows = routes.map(({ name }) => results.of(name));
  const sum = (field: keyof (typeof rows)[number]) =>
    rows.reduce((total, row) => total + row[field], 0);
  const offered = sum("offered");
  const servedRatios = rows.map((row) => (row.onTime + row.late) / row.offered);
  return {
    value: results.valueRatio(routes),
    refusedAgainRatio: sum("refusedAgain") / offered,
    failedRatio: sum("failed") / offered,
    meanServedRatio: (sum("onTime") + sum("late")) / offered,
    lowestServedRatio: Math.min(...servedRatios),
  };
}

// Daemons that follow the delayed busy ratio, each on its own, open and close at
// the same time: the pool is in turn idle and full.
for (
  const [name, scenario] of [
    ["waves in four data centres", CONVERSION_SCENARIO],
    ["bursts of the least and the most important requests", HEATING_SCENARIO],
  ] as const
) {
  test(`in ${name} coordinated levels earn more and refuse fewer callers twice`, () => {
    const before = play(scenario, true);
    const now = play(scenario, false);
    assert.ok(now.value > before.value + 0.03, JSON.stringify({ before, now }));
    assert.ok(now.refusedAgainRatio < 0.75 * before.refusedAgainRatio);
    assert.ok(now.failedRatio < 0.005, `failed ${now.failedRatio}`);
    assert.ok(now.lowestServedRatio > STARVED_RATIO * now.meanServedRatio);
  });
}

// The level must follow the lost part of the capacity, and not admit requests
// whose calls fail.
test("after the loss of the fastest upstream in a wave coordinated levels earn more", () => {
  const changes = { loadRatio: 0.7, lossAtMs: 9_000 };
  const before = play(CONVERSION_SCENARIO, true, changes);
  const now = play(CONVERSION_SCENARIO, false, changes);
  assert.ok(now.value > before.value, JSON.stringify({ before, now }));
  assert.ok(now.failedRatio < 0.005, `failed ${now.failedRatio}`);
  assert.ok(now.lowestServedRatio > STARVED_RATIO * now.meanServedRatio);
});
