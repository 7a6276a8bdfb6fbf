import assert from "node:assert/strict";
import { test } from "node:test";
import { estimateOpenCount, type KnownLoad } from "./open_estimate.ts";

const LOAD: KnownLoad = {
  reportedCount: 20,
  reportAgeMs: 0,
  meanRunMs: 15,
  pendingCount: 0,
  sentSinceReportCount: 0,
  busyRatio: 0,
  limitCount: 27,
};

// Between two answers a caller would otherwise send all of its requests to the
// upstream that looked best.
test("own open requests since the report are added, cancelled ones are not", () => {
  const sent = { ...LOAD, pendingCount: 5, sentSinceReportCount: 3 };
  assert.equal(estimateOpenCount(sent), 23);
  assert.equal(estimateOpenCount({ ...sent, pendingCount: 1 }), 21);
  assert.equal(estimateOpenCount({ ...sent, pendingCount: 40 }), 40);
});

// An upstream that is avoided sends no answers, and was avoided for seconds
// because of its last one.
test("a full upstream is estimated to have room some runs after its report", () => {
  const full = { ...LOAD, reportedCount: 27 };
  assert.ok(estimateOpenCount({ ...full, reportAgeMs: 30 }) < 22);
  assert.ok(estimateOpenCount({ ...full, reportAgeMs: Infinity }) < 22);
});

// With runs of 15 ms, an estimate that forgot queues as fast as runs sent further
// requests to upstreams with long queues.
test("a queue is estimated to become shorter slowly", () => {
  const queue = { ...LOAD, reportedCount: 100 };
  assert.ok(estimateOpenCount({ ...queue, reportAgeMs: 30 }) > 90);
  assert.ok(estimateOpenCount({ ...queue, reportAgeMs: 2_000 }) < 22);
});

test("an old report is replaced by a busy ratio that is high enough to be sent", () => {
  const busy = { ...LOAD, busyRatio: 2, reportAgeMs: 1_000 };
  assert.equal(Math.round(estimateOpenCount(busy)), 54);
  assert.equal(estimateOpenCount({ ...busy, busyRatio: 0.5 }), 20);
});
