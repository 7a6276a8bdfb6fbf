import assert from "node:assert/strict";
import { test } from "node:test";
import type { Pool } from "../schemas/tables_schema.ts";
import { createLimiter } from "./create_limiter.ts";
import { LoadReportBound } from "./load_report_bound.ts";

function runFor(
  kind: Pool["limit"],
  phases: { latencyMs: number; durationMs: number }[],
): number[] {
  const limiter = createLimiter(kind, 100);
  let nowMs = 0;
  return phases.map(({ latencyMs, durationMs }) => {
    for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += 2) {
      limiter.record(
        { latencyMs, inFlightCount: limiter.limit(), overloaded: false },
        nowMs,
      );
    }
    return limiter.limit();
  });
}

const SLOWDOWN = [
  { latencyMs: 20, durationMs: 5_000 },
  { latencyMs: 200, durationMs: 2_000 },
  { latencyMs: 20, durationMs: 20_000 },
];

test("adaptive limits guard against keeping all slots busy on a slow upstream, and recover", () => {
  for (const kind of ["gradient", "aimd"] as const) {
    const [quiet, slow, after] = runFor(kind, SLOWDOWN) as [
      number,
      number,
      number,
    ];
    assert.equal(quiet, 100, kind);
    assert.ok(slow <= 60, `${kind}: ${slow}`);
    assert.ok(slow >= 25, `${kind}: ${slow}`);
    assert.ok(after >= 90, `${kind}: ${after}`);
  }
  assert.deepEqual(runFor("fixed", SLOWDOWN), [100, 100, 100]);
});

test("lagging load reports guard: a limit falls to half at most and recovers after 2 s", () => {
  const bound = new LoadReportBound();
  bound.report({ statedCount: 1_000, ownCount: 10 }, 0);
  assert.equal(bound.bound(100, 1_999), 50);
  assert.equal(bound.bound(100, 2_001), 100);
  bound.report({ statedCount: 30, ownCount: 10 }, 3_000);
  assert.equal(bound.bound(100, 3_000), 80);
});

test("load reports that always say idle never raise a limit", () => {
  const bound = new LoadReportBound();
  bound.report({ statedCount: 0, ownCount: 90 }, 0);
  assert.equal(bound.bound(100, 0), 100);
});
