import assert from "node:assert/strict";
import { test } from "node:test";
import type { Pool } from "../../schemas/tables_schema.ts";
import { createLimiter } from "./create_limiter.ts";
import { LoadReportBound } from "../load_report_bound.ts";

/** Period in which the latency is a fixed function of the running requests. */
type Phase = { latencyMs(inFlightCount: number): number; durationMs: number };

/**
 * Records 500 requests/s with the limit fully used, and returns the limit at
 * the end of each phase.
 */
function runPhases(kind: Pool["limit"], phases: Phase[]): number[] {
  const limiter = createLimiter(kind, 100);
  let nowMs = 0;
  return phases.map((phase) => {
    for (const endMs = nowMs + phase.durationMs; nowMs < endMs; nowMs += 2) {
      const inFlightCount = limiter.limit();
      limiter.record({
        latencyMs: phase.latencyMs(inFlightCount),
        inFlightCount,
        overloaded: false,
      }, nowMs);
    }
    return limiter.limit();
  });
}

const HEALTHY = { latencyMs: () => 20, durationMs: 5_000 };

// Guards against sending an upstream more requests than it can run.
test("adaptive limits fall while an upstream is congested, and recover afterwards", () => {
  const congested = { latencyMs: (n: number) => 5 * n, durationMs: 3_000 };
  const recovered = { latencyMs: () => 20, durationMs: 20_000 };
  for (const kind of ["gradient", "aimd"] as const) {
    const limits = runPhases(kind, [HEALTHY, congested, recovered]);
    const [before, during, after] = limits as [number, number, number];
    assert.equal(before, 100, kind);
    assert.ok(during >= 25 && during <= 60, `${kind}: ${during}`);
    assert.ok(after >= 90, `${kind}: ${after}`);
  }
});

test("the gradient limit keeps the slots of an upstream that is slow at any load", () => {
  const slow = { latencyMs: () => 200, durationMs: 5_000 };
  const [, during] = runPhases("gradient", [HEALTHY, slow]);
  assert.ok((during ?? 0) >= 95, `${during}`);
  assert.deepEqual(runPhases("fixed", [HEALTHY, slow]), [100, 100]);
});

// Guards against a limit that stays low, or falls too far, because load reports
// lag behind the actual load.
test("load reports lower a limit to no less than half, and expire after 2 s", () => {
  const bound = new LoadReportBound();
  bound.report({ reportedCount: 1_000, ownCount: 10 }, 0);
  assert.equal(bound.bound(100, 1_999), 50);
  assert.equal(bound.bound(100, 2_001), 100);
  bound.report({ reportedCount: 30, ownCount: 10 }, 3_000);
  assert.equal(bound.bound(100, 3_000), 80);
});

test("a load report of 0 requests does not raise a limit", () => {
  const bound = new LoadReportBound();
  bound.report({ reportedCount: 0, ownCount: 90 }, 0);
  assert.equal(bound.bound(100, 0), 100);
});
