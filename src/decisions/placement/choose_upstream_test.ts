import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../core/random.ts";
import { chooseUpstream, type UpstreamCandidate } from "./choose_upstream.ts";

const IDLE: UpstreamCandidate = {
  isOwnDataCentre: true,
  isCold: false,
  isTrialDue: false,
  limitCount: 30,
  openCount: 0,
  meanRunMs: 30,
  routeRunMs: 30,
  failureRatio: 0,
};
const options = {
  random: new SeededRandom(1),
  remotePenaltyMs: 15,
  remainingMs: 700,
};

test("the own data centre is used until requests wait at its upstream", () => {
  const remote = { ...IDLE, isOwnDataCentre: false };
  assert.equal(
    chooseUpstream([{ ...IDLE, openCount: 15 }, remote], options),
    0,
  );
  assert.equal(
    chooseUpstream([{ ...IDLE, openCount: 45 }, remote], options),
    1,
  );
});

test("a faster upstream is preferred at equal load", () => {
  const fast = { ...IDLE, routeRunMs: 15 };
  assert.equal(chooseUpstream([IDLE, fast], options), 1);
});

test("an upstream at which some requests fail is avoided", () => {
  const failing = { ...IDLE, routeRunMs: 20, failureRatio: 0.4 };
  assert.equal(chooseUpstream([failing, IDLE], options), 1);
});

test("an upstream is chosen from every non-empty pool, also when upstreams are sampled", () => {
  assert.equal(chooseUpstream([], options), -1);
  const many = Array.from(
    { length: 200 },
    () => ({ ...IDLE, isOwnDataCentre: false }),
  );
  for (let index = 0; index < 100; index++) {
    assert.ok(chooseUpstream(many, options) >= 0);
  }
});

const REMOTE = { ...IDLE, isOwnDataCentre: false };

/** Counts how often each of the candidates is chosen in 1,000 choices. */
function countChoices(
  candidates: readonly UpstreamCandidate[],
  remainingMs = 700,
): number[] {
  const counts = candidates.map(() => 0);
  for (let index = 0; index < 1_000; index++) {
    counts[chooseUpstream(candidates, { ...options, remainingMs })]!++;
  }
  return counts;
}

// In nearly idle pools, up to 67% of the requests went to faster upstreams of
// other data centres, and bytes between data centres are priced.
test("a slower upstream of the own data centre is used while it has room", () => {
  const slow = { ...IDLE, meanRunMs: 100, routeRunMs: 100, openCount: 29 };
  assert.deepEqual(countChoices([slow, REMOTE]), [1_000, 0]);
});

test("a request that would be late leaves a slow or failing own data centre", () => {
  assert.deepEqual(countChoices([IDLE, { ...REMOTE, routeRunMs: 5 }], 90), [
    0,
    1_000,
  ]);
  const failing = { ...IDLE, failureRatio: 0.6 };
  assert.deepEqual(countChoices([failing, REMOTE]), [0, 1_000]);
});

// 59 daemons that see the same free upstream 300 ms late must not all choose it.
test("requests leave a full data centre in shares, each by the room of others", () => {
  const own = { ...IDLE, openCount: 36 };
  const free = { ...REMOTE, openCount: 3 };
  const busy = { ...REMOTE, openCount: 15 };
  const full = { ...REMOTE, openCount: 27 };
  const [ownCount, freeCount, busyCount, fullCount] = countChoices([
    own,
    free,
    busy,
    full,
  ]) as [number, number, number, number];
  assert.ok(ownCount > 450 && ownCount < 650);
  assert.ok(freeCount > 2 * busyCount && busyCount > 80);
  assert.equal(fullCount, 0);
});

// An unknown upstream had the cost 0, so that all callers sent to it at once.
test("a cold upstream gets a quarter of an equal share, known or not", () => {
  const cold = { ...IDLE, isCold: true, meanRunMs: 0, routeRunMs: 0 };
  for (const candidates of [[IDLE, cold], [IDLE, cold, REMOTE]]) {
    const share = countChoices(candidates)[1] as number / 1_000;
    assert.ok(share > 0.08 && share < 0.17);
  }
  const usedCold = { ...cold, openCount: 8 };
  assert.deepEqual(countChoices([IDLE, usedCold]), [1_000, 0]);
});

test("a trial comes first, but not at an upstream that is full or fails", () => {
  const due = { ...REMOTE, isTrialDue: true };
  assert.deepEqual(countChoices([IDLE, due]), [0, 1_000]);
  assert.deepEqual(countChoices([IDLE, { ...due, openCount: 30 }]), [1_000, 0]);
  const failing = { ...due, failureRatio: 0.5 };
  assert.deepEqual(countChoices([IDLE, failing]), [1_000, 0]);
});
