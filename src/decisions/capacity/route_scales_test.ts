import assert from "node:assert/strict";
import { test } from "node:test";
import { RouteScales } from "./route_scales.ts";

function addRuns(
  scales: RouteScales,
  { routeName = "r", ownMs, occupancyRatio, nowMs, count = 100 }: {
    routeName?: string;
    ownMs: number;
    occupancyRatio: number;
    nowMs: number;
    count?: number;
  },
) {
  let usual;
  for (let index = 0; index < count; index++) {
    usual = scales.add(routeName, ownMs, { occupancyRatio, nowMs });
  }
  return usual;
}

// Compared with runs of a saturated upstream, no run would look slow.
test("the usual time of a route is that of its runs at low occupancy", () => {
  const scales = new RouteScales();
  addRuns(scales, { ownMs: 40, occupancyRatio: 0.95, nowMs: 0 });
  addRuns(scales, { ownMs: 15, occupancyRatio: 0.3, nowMs: 0 });
  const usual = addRuns(scales, { ownMs: 40, occupancyRatio: 0.95, nowMs: 0 });
  assert.equal(Math.round(usual!.ms), 15);
});

// Under a lowered limit, a slow upstream has low occupancy.
test("a lower occupancy at which runs take longer does not replace the usual time", () => {
  const scales = new RouteScales();
  addRuns(scales, { ownMs: 15, occupancyRatio: 0.7, nowMs: 0 });
  const usual = addRuns(scales, { ownMs: 60, occupancyRatio: 0.2, nowMs: 0 });
  assert.equal(Math.round(usual!.ms), 15);
});

test("a route has no usual time before 30 runs, nor from old ones only", () => {
  const scales = new RouteScales();
  const run = { ownMs: 15, occupancyRatio: 0.2 };
  assert.equal(addRuns(scales, { ...run, nowMs: 0, count: 29 })!.runsCount, 0);
  assert.equal(addRuns(scales, { ...run, nowMs: 0, count: 1 })!.runsCount, 30);
  const old = addRuns(scales, { ...run, nowMs: 120_001, count: 1 });
  assert.equal(old!.runsCount, 0);
});

// The names of routes come from the configuration, whose size is not bounded
// here.
test("the number of routes is bounded", () => {
  const scales = new RouteScales();
  const run = { ownMs: 15, occupancyRatio: 0.2, nowMs: 0 };
  for (let index = 0; index < 64; index++) {
    addRuns(scales, { ...run, routeName: `r-${index}`, count: 1 });
  }
  assert.equal(addRuns(scales, { ...run, routeName: "r-64" })!.runsCount, 0);
});
