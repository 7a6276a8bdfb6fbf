import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../core/random.ts";
import type { UpstreamReport } from "../schemas/fleet_schema.ts";
import { type LogFields, NullLogger } from "../telemetry/logger.ts";
import type { ServedRequest, ServedResult } from "./served_request.ts";
import { CallTimes } from "./call_times.ts";
import { UpstreamCapacity } from "./upstream_capacity.ts";

const REPORT: UpstreamReport = {
  upstreamId: "u-1",
  pool: "ledger",
  slotsCount: 39,
  state: "ready",
  sequence: 1,
  startedEpochMs: 1_000,
  coldRemainingMs: 0,
};
const USUAL_COUNT = 37;
const KNEE_COUNT = 20;

class RecordingLogger extends NullLogger {
  readonly lines: LogFields[] = [];

  override info(_message: string, fields: LogFields = {}): void {
    this.lines.push(fields);
  }
}

function createCapacity() {
  const log = new RecordingLogger();
  const capacity = new UpstreamCapacity(log);
  capacity.update(REPORT, 0);
  return { capacity, log };
}

/** A run of the upstream that started at a time. */
function createServed(sentAtMs: number): ServedRequest {
  return {
    request: { routeName: "r" },
    sentAtMs,
    startedWorkMs: 0,
    runningAtStartCount: 0,
    callTimes: new CallTimes(),
  } as unknown as ServedRequest;
}

/** Records a run that ends at once at a later time. */
function run(
  capacity: UpstreamCapacity,
  { startMs, runMs, runningCount, result = "answered", callsMs = 0 }: {
    startMs: number;
    runMs: number;
    runningCount: number;
    result?: ServedResult;
    callsMs?: number;
  },
): void {
  const served = createServed(startMs);
  capacity.recordStart(served, runningCount);
  served.callTimes.start(startMs);
  served.callTimes.end(startMs + callsMs);
  capacity.recordEnd(served, result, { runningCount, nowMs: startMs + runMs });
}

/**
 * Plays an upstream that takes four times as long above 20 requests, first idle
 * and then saturated.
 */
function saturate(capacity: UpstreamCapacity, untilMs: number): void {
  const random = new SeededRandom(3);
  for (let startMs = 0; startMs < untilMs; startMs += 100) {
    const isIdle = startMs < 1_000;
    const limitCount = isIdle ? 5 : capacity.presentLimitCount(startMs);
    const dilation = limitCount > KNEE_COUNT ? 4 : 1;
    const runs = Array.from({ length: 100 }, () => createServed(startMs));
    runs.forEach((served) => capacity.recordStart(served, limitCount));
    let nowMs = startMs;
    for (const served of runs) {
      nowMs += dilation * random.nextFloat() / 10;
      const end = { runningCount: limitCount, nowMs: nowMs + 5 * dilation };
      capacity.recordEnd(served, "answered", end);
    }
    capacity.tick(REPORT, startMs + 100);
  }
}

// Operators see why a pool sheds requests; trials must not flood the log.
test("a lowered limit is logged once", () => {
  const { capacity, log } = createCapacity();
  saturate(capacity, 4_000);
  assert.ok(capacity.limitCount <= KNEE_COUNT);
  const [line] = log.lines;
  assert.equal(line?.["lastLimitCount"], USUAL_COUNT);
  assert.equal(line?.["usualLimitCount"], USUAL_COUNT);
  assert.ok(log.lines.length <= 2);
});

// The same id and number of slots may be those of a new process.
test("the limit is discarded when the upstream has restarted, but not by a later report of the same start", () => {
  const { capacity } = createCapacity();
  saturate(capacity, 4_000);
  const { limitCount } = capacity;
  assert.ok(limitCount < USUAL_COUNT);
  capacity.update({ ...REPORT, sequence: 2 }, 4_000);
  assert.equal(capacity.limitCount, limitCount);
  capacity.update({ ...REPORT, startedEpochMs: 2_000 }, 4_000);
  assert.equal(capacity.limitCount, USUAL_COUNT);
});

// After a restart of the daemon, a health check comes before the first heartbeat
// and does not tell the start.
test("the first heartbeat after a health check does not discard the limit", () => {
  const { capacity } = createCapacity();
  capacity.update({ ...REPORT, upstreamId: "u-2", startedEpochMs: 0 }, 0);
  saturate(capacity, 4_000);
  const { limitCount } = capacity;
  assert.ok(limitCount < USUAL_COUNT);
  capacity.update({ ...REPORT, upstreamId: "u-2" }, 4_000);
  assert.equal(capacity.limitCount, limitCount);
});

// The answer to a late request would otherwise set the speed of a new machine.
test("the slowdown in an answer of a former upstream is ignored", () => {
  const { capacity } = createCapacity();
  const signals = { limitPerS: undefined, isLeaving: false, slowdownRatio: 2 };
  capacity.applySignals({ ...signals, upstreamId: "u-0" }, 0);
  assert.equal(capacity.slowdownRatio(0), 1);
  capacity.applySignals({ ...signals, upstreamId: "u-1" }, 0);
  assert.equal(capacity.slowdownRatio(0), 2);
});

// The expected wait would be too short if only own times counted: a request
// keeps its slot during its calls.
test("the expected run time includes downstream calls, but no refused requests", () => {
  const { capacity } = createCapacity();
  for (let startMs = 0; startMs < 20_000; startMs += 100) {
    run(capacity, { startMs, runMs: 80, callsMs: 60, runningCount: 1 });
    run(capacity, {
      startMs: startMs + 80,
      runMs: 1,
      runningCount: 1,
      result: "refused",
    });
  }
  assert.equal(Math.round(capacity.expectedRunMs(20_000)), 80);
});
