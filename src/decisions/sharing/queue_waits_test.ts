import assert from "node:assert/strict";
import { test } from "node:test";
import { exceedsGoal, expectedWaitMs, maxWaitMs } from "./queue_waits.ts";

test("the expected wait is that for a slot or for the named limit, whichever is longer", () => {
  const load = { aheadCount: 6, limitCount: 3, expectedRunMs: 40 };
  assert.equal(expectedWaitMs({ ...load, rateWaitMs: 0 }), 80);
  assert.equal(expectedWaitMs({ ...load, rateWaitMs: 200 }), 200);
  assert.equal(expectedWaitMs({ ...load, limitCount: 0, rateWaitMs: 0 }), 0);
});

test("a wait of more than half of the time until the goal is too long", () => {
  assert.equal(exceedsGoal(50, 100), false);
  assert.equal(exceedsGoal(51, 100), true);
  assert.equal(exceedsGoal(1, -100), true);
});

test("a refusable request keeps the time for a run elsewhere, up to half of its time", () => {
  const refusable = { isRefusable: true, remainingMs: 1_000 };
  assert.equal(maxWaitMs(refusable, 100), 900);
  assert.equal(maxWaitMs(refusable, 800), 500);
  assert.equal(maxWaitMs({ ...refusable, isRefusable: false }, 100), 1_000);
});
