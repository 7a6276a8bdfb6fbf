import assert from "node:assert/strict";
import { test } from "node:test";
import { EntryLevels } from "./entry_levels.ts";

const INTERVAL_MS = 100;
/** Time from the admission of a request until it loads the deepest pool. */
const LOAD_DELAY_MS = 700;

/** Evenly spread samples, of which each class gets as many. */
const SAMPLES_COUNT = 200;

/** Runs of each class that a pool admits. */
function admittedRuns(levels: EntryLevels, offered: number[]): number[] {
  return offered.map((runs, priority) => {
    let admittedCount = 0;
    for (let index = 0; index < SAMPLES_COUNT; index++) {
      const sample = (index + 0.5) / SAMPLES_COUNT;
      admittedCount += levels.admits("plates", { priority, sample }) ? 1 : 0;
    }
    return runs * admittedCount / SAMPLES_COUNT;
  });
}

/** Simulates a pool on which admitted runs arrive after a delay. */
function simulate(
  levels: EntryLevels,
  options: {
    offered: number[];
    capacity: number;
    stepsCount: number;
    /** Waiting runs beyond these have missed their deadline. */
    waitingMaxCount?: number;
  },
) {
  const { offered, capacity, stepsCount, waitingMaxCount = Infinity } = options;
  const delaySteps = LOAD_DELAY_MS / INTERVAL_MS;
  const admitted: number[] = [];
  let backlog = 0;
  const history: { level: number; busyRatio: number }[] = [];
  for (let step = 0; step < stepsCount; step++) {
    const arriving = admitted[step - delaySteps] ?? 0;
    backlog = Math.min(
      waitingMaxCount,
      Math.max(0, backlog + arriving - capacity),
    );
    const busyRatio = Math.min(1, arriving / capacity) + backlog / capacity;
    const level = levels.step("plates", { busyRatio, offered });
    admitted.push(
      admittedRuns(levels, offered).reduce((sum, runs) => sum + runs, 0),
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

// Guards against a share of all requests that is admitted at any load: while
// callers repeat, it alone is more than the pool can run.
test("at fifty times the capacity no more is admitted than the pool can run, and no class is starved", () => {
  const levels = new EntryLevels();
  const offered = [1_000, 200, 3_800];
  const history = simulate(levels, {
    offered,
    capacity: 100,
    stepsCount: 400,
    waitingMaxCount: 800,
  });
  for (const { busyRatio } of history.slice(-100)) {
    assert.ok(busyRatio < 1.2, `load ${busyRatio}`);
  }
  const admitted = admittedRuns(levels, offered);
  const allRatio = admitted.reduce((sum, runs) => sum + runs, 0) / 5_000;
  admitted.forEach((runs, priority) => {
    const ratio = runs / (offered[priority] as number);
    assert.ok(ratio >= allRatio / 4, `class ${priority}: ${ratio}`);
  });
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

// Error answers are not retried while a pool sheds, so a rounding error would
// cost retries.
test("a pool that admits all does not count as shedding, whatever is offered", () => {
  const levels = new EntryLevels();
  for (let index = 1; index < 200; index++) {
    const offered = [index / 7, index * 0.3, 100 / index];
    levels.step("plates", { busyRatio: 0.1, offered });
    assert.equal(levels.isShedding("plates"), false);
  }
});
