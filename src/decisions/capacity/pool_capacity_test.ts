import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type PoolOptions,
  simulatePool,
} from "../../testing/pool_simulation.ts";

const UNEQUAL: PoolOptions = {
  seed: 1,
  isLearning: true,
  speeds: [0.7, 0.7, 1, 1.6],
  kneeCount: 27.3,
  loadRatio: 0.87,
  durationMs: 20_000,
  measuredFromMs: 5_000,
  goalMs: 100,
};

function play(options: Partial<PoolOptions>) {
  return simulatePool({ ...UNEQUAL, ...options });
}

// With fixed slots, one burst takes the upstreams beyond the knee, where they are
// too slow to get rid of the waiting requests.
test("learned limits serve a pool that fixed slots leave saturated", (context) => {
  for (const seed of [1, 2, 3]) {
    const fixed = play({ seed, isLearning: false });
    const learned = play({ seed });
    context.diagnostic(JSON.stringify({ seed, fixed, learned }));
    assert.ok(learned.failedRatio < 0.01);
    assert.ok(learned.withinGoalRatio > fixed.withinGoalRatio + 0.5);
    assert.ok(learned.meanMs < fixed.meanMs / 4);
  }
});

// An equal split leaves the fast upstream idle while the slow ones have queues.
test("callers choose the upstreams of a pool by their speed", (context) => {
  const { shares } = play({ loadRatio: 0.7 });
  context.diagnostic(JSON.stringify(shares));
  UNEQUAL.speeds.forEach((speed, index) => {
    const fair = speed / 4;
    assert.ok(Math.abs(shares[index]! - fair) < 0.06);
  });
});

// A pool of equal upstreams without a knee must be served as before.
test("a pool without a slowdown is served exactly as with fixed slots", () => {
  for (const speeds of [[1, 1, 1, 1], UNEQUAL.speeds]) {
    const { kneeCount: _, ...rest } = UNEQUAL;
    const options = { ...rest, speeds };
    assert.deepEqual(
      simulatePool({ ...options, isLearning: true }),
      simulatePool({ ...options, isLearning: false }),
    );
  }
});
