import assert from "node:assert/strict";
import { test } from "node:test";
import { ScarcePools } from "./scarce_pools.ts";

// Guards against reports to the upstreams of all pools: 65 daemons with tenants
// sent 13,000 a second, most of them to nearly idle upstreams.
test("a pool is scarce from a high load or shedding on until some seconds after it", () => {
  const pools = new ScarcePools();
  const isScarce = (nowMs: number, busyRatio: number, isShedding = false) =>
    pools.isScarce("plates", { busyRatio, isShedding }, nowMs);
  assert.equal(isScarce(0, 0.5), false);
  assert.equal(isScarce(100, 0.8), true);
  assert.equal(isScarce(5_000, 0.5), true);
  assert.equal(isScarce(5_200, 0.5), false);
  assert.equal(isScarce(5_300, 0.5, true), true);
  assert.equal(isScarce(10_200, 0.5), true);
  assert.equal(isScarce(10_400, 0.5), false);
});
