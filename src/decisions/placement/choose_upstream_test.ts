import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../core/random.ts";
import { chooseUpstream, type UpstreamCandidate } from "./choose_upstream.ts";

const IDLE: UpstreamCandidate = {
  isOwnDataCentre: true,
  isCold: false,
  limitCount: 30,
  openCount: 0,
  meanRunMs: 30,
  routeRunMs: 30,
  failureRatio: 0,
};
const options = { random: new SeededRandom(1), remotePenaltyMs: 15 };

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
