import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../core/random.ts";
import { callGoalAtMs } from "./call_goal.ts";
import { spreadRetryAfterMs } from "./retry_after.ts";

function draw(goalMs: number, remainingMs: number): number[] {
  const random = new SeededRandom(1);
  return Array.from(
    { length: 200 },
    () => spreadRetryAfterMs({ goalMs, remainingMs }, random),
  );
}

// A retry that comes back after the goal is late, however fast it is answered,
// and callers do not wait for more than a third of their remaining time.
test("callers come back before the goal and within a third of their time", () => {
  for (
    const [goalMs, remainingMs] of [[1_203, 5_008], [3_000, 5_001]] as const
  ) {
    const waits = draw(goalMs, remainingMs);
    assert.ok(Math.max(...waits) <= Math.min(0.8 * goalMs, remainingMs / 3));
    assert.ok(Math.min(...waits) > 0.5 * Math.min(goalMs, remainingMs / 3));
  }
});

// Callers that are refused together would load the pool together again.
test("the times of callers that are refused together are spread", () => {
  const waits = draw(1_203, 5_008);
  assert.ok(Math.max(...waits) - Math.min(...waits) > 200);
});

test("a caller without time left is told to come back at once", () => {
  assert.deepEqual(new Set(draw(1_203, -5)), new Set([0]));
});

// Calls with a late goal waited until their deadline, and work was lost.
test("a call is due before its deadline, and at the goal of its request", () => {
  const call = { arrivedAtMs: 1_000, expiresAtMs: 1_700 };
  assert.equal(callGoalAtMs(4_000, call), 1_525);
  assert.equal(callGoalAtMs(1_100, call), 1_100);
});
