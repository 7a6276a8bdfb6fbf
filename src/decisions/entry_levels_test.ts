import assert from "node:assert/strict";
import { test } from "node:test";
import { EntryLevels } from "./entry_levels.ts";

const INTERVAL_MS = 100;
/** Time from the admission of a request until it loads the deepest pool. */
const LOAD_DELAY_MS = 700;

/** Simulates a pool on which admitted runs arrive after a delay. */
function simulate(
  levels: EntryLevels,
  options: { offered: number[]; capacity: number; stepsCount: number },
) {
  const { offered, capacity, stepsCount } = options;
  const delaySteps = LOAD_DELAY_MS / INTERVAL_MS;
  const admitted: number[] = [];
  let backlog = 0;
  const history: { level: number; busyRatio: number }[] = [];
  for (let step = 0; step < stepsCount; step++) {
    const arriving = admitted[step - delaySteps] ?? 0;
    backlog = Math.max(0, backlog + arriving - capacity);
    const busyRatio = Math.min(1, arriving / capacity) + backlog / capacity;
    const level = levels.step("plates", { busyRatio, offered });
    admitted.push(
      offered.reduce(
        (sum, runs, priority) =>
          sum + runs * Math.min(1, Math.max(0, level - priority)),
        0,
      ),
    );
    history.push({ level, busyRatio });
  }
  return history;
}

test("at twice the capacity the level settles and admits the two most important classes", () => {
  const history = simulate(new EntryLevels(), {
    offered: [50, 10, 140],
    capacity: 100,
    stepsCount: 200,
  });
  const settled = history.slice(100);
  for (const { level, busyRatio } of settled) {
    assert.ok(level >= 2, `level ${level} is below 2`);
    assert.ok(busyRatio < 1.1, `load ${busyRatio}`);
  }
  const mean = settled.reduce((sum, { busyRatio }) => sum + busyRatio, 0) /
    settled.length;
  assert.ok(mean > 0.8, `the capacity is used: ${mean}`);
});

// Guards against queues that stay full for seconds after the start of a burst.
test("a full queue halves the admitted runs in one step", () => {
  const levels = new EntryLevels();
  const offered = [10, 0, 90];
  const level = levels.step("plates", { busyRatio: 4, offered });
  assert.ok(level < 2.45, `level ${level}`);
});

test("all classes are admitted again after the overload has ended", () => {
  const levels = new EntryLevels();
  simulate(levels, { offered: [50, 10, 140], capacity: 100, stepsCount: 100 });
  const after = simulate(levels, {
    offered: [20, 5, 50],
    capacity: 100,
    stepsCount: 60,
  });
  assert.equal(after.at(-1)?.level, 3);
});
