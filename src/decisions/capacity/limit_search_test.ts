import assert from "node:assert/strict";
import { test } from "node:test";
import { LimitSearch } from "./limit_search.ts";

const USUAL_COUNT = 3;
const STEP_MS = 10;
const WINDOW_MS = 200;

/** Plays an upstream whose slots are always in use; returns the limit at the end. */
function play(
  search: LimitSearch,
  { fromMs, untilMs, runMs, ratioOf }: {
    fromMs: number;
    untilMs: number;
    runMs: number;
    ratioOf: (runningCount: number) => number;
  },
): number {
  let running: { startedAtMs: number; runningCount: number }[] = [];
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += STEP_MS) {
    const isEnded = ({ startedAtMs }: { startedAtMs: number }) =>
      startedAtMs + runMs <= nowMs;
    for (const { startedAtMs, runningCount } of running.filter(isEnded)) {
      search.addRun(startedAtMs, ratioOf(runningCount), runningCount);
    }
    running = running.filter((run) => !isEnded(run));
    const limitCount = Math.min(USUAL_COUNT, search.presentCount(nowMs));
    while (running.length < limitCount) {
      running.push({ startedAtMs: nowMs, runningCount: limitCount });
    }
    search.tick(nowMs, USUAL_COUNT);
    if (nowMs % WINDOW_MS === 0) {
      search.endWindow(nowMs, {
        usualCount: USUAL_COUNT,
        slowdownRatio: ratioOf(limitCount),
        limitedRatio: 1,
        runMs,
        callsRatio: 0,
      });
    }
  }
  return search.limitCount;
}

// A trial of a few run times has too few runs at a very low limit to show
// anything, which must not keep an upstream that has recovered at that limit.
test("a limit of one is raised after the upstream has recovered", () => {
  const search = new LimitSearch();
  const learned = play(search, {
    fromMs: 0,
    untilMs: 3_000,
    runMs: 10,
    ratioOf: (runningCount) => runningCount > 1 ? 9 : 1,
  });
  assert.equal(learned, 1);
  const recovered = play(search, {
    fromMs: 3_000,
    untilMs: 33_000,
    runMs: 30,
    ratioOf: (runningCount) => runningCount > 1 ? 1.01 : 1,
  });
  assert.equal(recovered, Infinity);
});
