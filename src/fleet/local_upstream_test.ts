import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../core/clock.ts";
import type { UpstreamReport } from "../schemas/fleet_schema.ts";
import { NullLogger } from "../telemetry/logger.ts";
import { LocalUpstream } from "./local_upstream.ts";

const NOW_EPOCH_MS = 4_000;

function report(changes: Partial<UpstreamReport> = {}): UpstreamReport {
  return {
    upstreamId: "i-1",
    pool: "votes",
    slotsCount: 8,
    state: "ready",
    sequence: 1,
    startedEpochMs: 1_000,
    coldRemainingMs: 0,
    ...changes,
  };
}

function createUpstream(): LocalUpstream {
  const listener = { onServing() {}, onNotServing() {} };
  return new LocalUpstream({
    log: new NullLogger(),
    clock: new ManualClock(NOW_EPOCH_MS),
    listener,
  });
}

test("an upstream that leaves does not serve again after a late heartbeat", () => {
  const upstream = createUpstream();
  upstream.handleHeartbeat(report({ sequence: 4 }));
  upstream.handleHeartbeat(report({ sequence: 5, state: "draining" }));
  upstream.handleHeartbeat(report({ sequence: 3 }));
  assert.equal(upstream.isServing, false);
});

test("a heartbeat of an earlier start does not replace the report of a later one", () => {
  const upstream = createUpstream();
  upstream.handleHeartbeat(
    report({ upstreamId: "i-2", startedEpochMs: 2_000 }),
  );
  upstream.handleHeartbeat(report({ sequence: 90 }));
  assert.equal(upstream.report?.upstreamId, "i-2");
});

test("an upstream that has left serves again after a later start under the same id", () => {
  const upstream = createUpstream();
  upstream.handleHeartbeat(report({ sequence: 40 }));
  upstream.markLeaving("i-1");
  assert.equal(upstream.isServing, false);
  upstream.handleHeartbeat(report({ sequence: 1, startedEpochMs: 5_000 }));
  assert.equal(upstream.isServing, true);
});

test("an upstream that left before the daemon's start serves only after a later start", () => {
  const upstream = createUpstream();
  upstream.restoreDeparture({ upstreamId: "i-1", startedEpochMs: 1_000 });
  upstream.handleHeartbeat(report({ sequence: 7 }));
  assert.equal(upstream.isServing, false);
  upstream.handleHeartbeat(report({ sequence: 1, startedEpochMs: 3_000 }));
  assert.equal(upstream.isServing, true);
});

test("an announcement that another upstream leaves is ignored", () => {
  const upstream = createUpstream();
  upstream.handleHeartbeat(report());
  upstream.markLeaving("i-0");
  assert.equal(upstream.isServing, true);
});

test("an upstream whose departure is restored after a health check does not serve again after a heartbeat of the same start", () => {
  const upstream = createUpstream();
  upstream.handleHeartbeat(report({ sequence: 0, startedEpochMs: 0 }));
  upstream.restoreDeparture({ upstreamId: "i-1", startedEpochMs: 1_000 });
  upstream.handleHeartbeat(report({ sequence: 7 }));
  assert.equal(upstream.isServing, false);
});

// Guards against requests to an upstream that left before its first heartbeat
// to this process: a late one would count as that of a new start.
test("an upstream that leaves after a health check serves again only after a later start", () => {
  const upstream = createUpstream();
  upstream.handleHeartbeat(report({ sequence: 0, startedEpochMs: 0 }));
  upstream.markLeaving("i-1");
  upstream.handleHeartbeat(report({ sequence: 7 }));
  assert.equal(upstream.isServing, false);
  upstream.handleHeartbeat(report({ startedEpochMs: NOW_EPOCH_MS + 1 }));
  assert.equal(upstream.isServing, true);
});

// Guards against a late heartbeat of a start that left before any of its
// heartbeats arrived.
test("an upstream that leaves before the first heartbeat of its start does not serve after that heartbeat", () => {
  const upstream = createUpstream();
  upstream.handleHeartbeat(report({ sequence: 7 }));
  upstream.markLeaving("i-1");
  upstream.handleHeartbeat(report({ sequence: 1, startedEpochMs: 3_000 }));
  assert.equal(upstream.isServing, false);
});

test("an upstream that leaves before any report does not serve after a late heartbeat", () => {
  const upstream = createUpstream();
  upstream.markLeaving("i-1");
  upstream.handleHeartbeat(report());
  assert.equal(upstream.isServing, false);
});
