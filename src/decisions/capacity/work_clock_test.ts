import assert from "node:assert/strict";
import { test } from "node:test";
import { WorkClock } from "./work_clock.ts";

// A run that lasts through several phases of a neighbour's load must not count
// as slow or fast because of the last one.
test("the clock counts each part of a period at its own slowdown", () => {
  const clock = new WorkClock();
  const startMs = clock.workMs(1_000);
  clock.setSlowdown(2.5, 1_100);
  clock.setSlowdown(1, 1_350);
  assert.equal(clock.workMs(1_400) - startMs, 100 + 100 + 50);
});

// A machine that no longer reports may have become faster.
test("a slowdown is not used 1 s after its report", () => {
  const clock = new WorkClock();
  clock.setSlowdown(2, 0);
  assert.equal(clock.workMs(3_000), 500 + 2_000);
  assert.equal(clock.slowdownRatio(1_000), 2);
  assert.equal(clock.slowdownRatio(1_001), 1);
});

// An infinite or zero slowdown would make all later readings useless.
test("a slowdown that is not plausible is ignored", () => {
  const clock = new WorkClock();
  clock.workMs(0);
  for (const ratio of [NaN, 0, -1, Infinity, 1_000]) {
    clock.setSlowdown(ratio, 0);
  }
  assert.equal(clock.slowdownRatio(0), 1);
  assert.equal(clock.workMs(100), 100);
});
