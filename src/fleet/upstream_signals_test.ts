import assert from "node:assert/strict";
import { test } from "node:test";
import type { HeaderNames } from "./header_names.ts";
import { readUpstreamSignals } from "./upstream_signals.ts";

const names = {
  load: "load",
  rateLimit: "rate-limit",
  leaving: "leaving",
} as HeaderNames;

function readSlowdown(load: string | string[] | undefined) {
  return readUpstreamSignals({ load }, { upstreamId: "u-1", names })
    .slowdownRatio;
}

test("the fourth value of the reported load is the slowdown in percent", () => {
  assert.equal(readSlowdown("12,3,39,250"), 2.5);
  assert.equal(readSlowdown("12, 3, 39, 100"), 1);
  assert.equal(readSlowdown("12,3,39,70,later"), 0.7);
});

// Not all pools report it, and a wrong value must not change a limit.
test("a missing or bad slowdown is ignored", () => {
  const bad = ["12,3,39", "", "12,3,39,", "12,3,39,x", "12,3,39,0", "1,2,3,-5"];
  for (const load of [...bad, "1,2,3,1e999", "1,2,3,NaN", ["1,2,3,250"]]) {
    assert.equal(readSlowdown(load), undefined);
  }
  assert.equal(readSlowdown(undefined), undefined);
});
