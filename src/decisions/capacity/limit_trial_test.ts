import assert from "node:assert/strict";
import { test } from "node:test";
import { LimitTrial } from "./limit_trial.ts";

const LIMIT_COUNT = 30;
const PHASE_MS = 100;

/** Plays a trial; the ratio of a run depends on the limit and on the time. */
function play(
  triedCount: number,
  ratioOf: (limitCount: number, nowMs: number) => number,
  runsPerPhaseCount = 100,
) {
  const trial = new LimitTrial({
    limitCount: LIMIT_COUNT,
    triedCount,
    startMs: 0,
    phaseMs: PHASE_MS,
    callsRatio: 0,
  });
  let nowMs = 0;
  for (; trial.result === undefined; nowMs += PHASE_MS) {
    const limitCount = trial.limitCount(nowMs);
    for (let run = 0; run < runsPerPhaseCount; run++) {
      const noise = run % 2 === 0 ? 0.5 : 1.5;
      trial.add(nowMs, noise * ratioOf(limitCount, nowMs), limitCount);
    }
    trial.tick(nowMs + PHASE_MS);
  }
  return { result: trial.result, durationMs: nowMs };
}

test("a lower limit is better when runs are shortened by more than the limit", () => {
  assert.deepEqual(play(20, (limitCount) => limitCount > 20 ? 3 : 1), {
    result: "better",
    durationMs: 2 * PHASE_MS,
  });
});

// Fewer concurrent requests that each take as long have a lower throughput.
test("a lower limit is not better when runs take as long", () => {
  assert.equal(play(20, () => 3).result, "notBetter");
});

// A neighbour that slows the upstream down during the trial affects both limits.
test("a change of the speed during the trial is not taken for an effect of the limit", () => {
  const ratioOf = (_: number, nowMs: number) => nowMs < 2 * PHASE_MS ? 5 : 1;
  assert.equal(play(20, ratioOf).result, "notBetter");
});

// Little traffic or much noise must not hold back an upstream that has recovered.
test("a higher limit is used when the trial shows no clear difference", () => {
  assert.equal(play(33, () => 1, 10).result, "perhapsBetter");
  assert.equal(play(27, () => 1.05, 10).result, "notBetter");
});

test("a trial with too few runs changes nothing", () => {
  assert.equal(play(33, () => 1, 2).result, "notBetter");
});
