import assert from "node:assert/strict";
import { test } from "node:test";
import { RunTime } from "./run_time.ts";

test("frequent runs are averaged, whatever other routes do", () => {
  const time = new RunTime({ runMs: 20, reportedMs: 20, nowMs: 0 });
  time.add({ runMs: 30, reportedMs: 40, nowMs: 0 });
  assert.equal(time.meanMs, 21);
});

// An upstream that had been slow for 6 s was avoided for seconds afterwards.
test("a few rare runs show that an upstream has recovered", () => {
  const time = new RunTime({ runMs: 75, reportedMs: 60, nowMs: 0 });
  for (const nowMs of [2_000, 4_000, 6_000]) {
    time.add({ runMs: 15, reportedMs: 12, nowMs });
  }
  assert.ok(time.meanMs > 12 && time.meanMs < 25, `${time.meanMs}`);
});

// A mean that was replaced by one short run made callers prefer a slow upstream.
test("one short run after a while is no reason to prefer an upstream", () => {
  const time = new RunTime({ runMs: 20, reportedMs: 20, nowMs: 0 });
  time.add({ runMs: 1, reportedMs: 20, nowMs: 10_000 });
  assert.ok(time.meanMs > 18);
});
