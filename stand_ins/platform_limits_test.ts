import assert from "node:assert/strict";
import { test } from "node:test";
import {
  DEFAULT_LIMITS,
  type PlatformCounters,
  PlatformRateLimiter,
} from "./platform_limits.ts";
import { PlatformServer } from "./platform_server.ts";

test("calls over the limits of one second are refused, with separate limits for reads and writes", () => {
  const limiter = new PlatformRateLimiter(DEFAULT_LIMITS);
  const admit = (kind: "read" | "write", count: number, nowMs: number) =>
    Array.from({ length: count }, () => limiter.admit(kind, nowMs))
      .filter((admitted) => admitted).length;
  assert.equal(admit("read", 2_500, 0), 2_000);
  assert.equal(admit("write", 500, 999), 400);
  assert.equal(admit("read", 10, 1_000), 10);
  assert.equal(limiter.counters.limitedCount, 600);
  assert.equal(limiter.counters.peakCallsPerS, 3_000);
});

test("the control paths work while the platform is down, and all calls are counted", async (t) => {
  const platform = new PlatformServer({ limits: { readsPerSMax: 2 } });
  const url = `http://127.0.0.1:${await platform.listen(0)}`;
  t.after(() => platform.close());
  const statuses: number[] = [];
  for (let call = 0; call < 3; call++) {
    statuses.push((await fetch(`${url}/objects/tables`)).status);
  }
  assert.deepEqual(statuses, [200, 200, 429]);
  const body = JSON.stringify({ down: true });
  await fetch(`${url}/control/faults`, { method: "POST", body });
  await assert.rejects(fetch(`${url}/objects/tables`));
  const answer = await fetch(`${url}/control/counters`);
  const counters = await answer.json() as PlatformCounters;
  assert.equal(counters.calls.list, 2);
  assert.equal(counters.downCount, 1);
});
