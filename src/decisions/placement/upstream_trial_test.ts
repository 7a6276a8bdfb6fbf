import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../core/random.ts";
import { UpstreamTrial } from "./upstream_trial.ts";

const SKIPPED_COUNT = 50;
const random = new SeededRandom(1);

function joined(isCold: boolean, nowMs = 10_000, isOwnDataCentre = false) {
  return new UpstreamTrial({
    random,
    nowMs,
    poolSeenAtMs: 0,
    isCold,
    isOwnDataCentre,
  });
}

// Without a trial, an upstream that joins an idle pool of another data centre
// would get no request while the others get some.
test("an upstream that joins gets a request within 4 s, at different times", () => {
  const trials = Array.from({ length: 59 }, () => joined(true));
  const dueCount = (nowMs: number) =>
    trials.filter((trial) => trial.isDue(nowMs, undefined)).length;
  assert.ok(dueCount(10_300) < 30);
  assert.equal(dueCount(14_000), 59);
  trials.forEach((trial) => trial.recordChosen());
  assert.equal(dueCount(20_000), 0);
});

// Bytes to other data centres are priced: a start is no reason for a request.
test("upstreams that of other data centres need no first request of a caller that starts", () => {
  assert.equal(joined(false, 1_000).isDue(9_000, undefined), false);
  assert.equal(joined(true, 1_000).isDue(9_000, undefined), true);
});

// With few requests, a caller would otherwise keep to the first upstream that has
// answered, since it knows no other one to be faster.
test("each upstream of the own data centre gets one of a caller's first requests", () => {
  assert.equal(joined(false, 1_000, true).isDue(1_000, 14), true);
});

test("an avoided upstream gets a request now and then in the own data centre only", () => {
  const trial = joined(false, 0, true);
  trial.recordChosen();
  for (let count = 0; count < 2 * SKIPPED_COUNT; count++) {
    trial.recordSkipped();
  }
  assert.equal(trial.isDue(1, 2), true);
  assert.equal(trial.isDue(1, 3), false);
  assert.equal(trial.isDue(1, undefined), false);
});
