import assert from "node:assert/strict";
import { test } from "node:test";
import { empty } from "most";
import { NullLogger } from "../telemetry/logger.ts";
import { FleetDaemonLifecycle } from "./fleet_daemon_lifecycle.ts";
import { StopSequence } from "./stop_sequence.ts";

const TICK_MS = 100;
const STOP_GRACE_MS = 6_000;

/** Simulates a shutdown; returns the times of its steps in ms after SIGTERM. */
function runStop(openCountAt: (elapsedMs: number) => number) {
  let elapsedMs = 0;
  const steps: { refusedMs?: number; endedMs?: number } = {};
  const openCount = () => openCountAt(elapsedMs);
  const lifecycle = new FleetDaemonLifecycle({
    log: new NullLogger(),
    signals: empty(),
    onStop: () => {},
    openCount,
  });
  lifecycle.handle("terminate");
  const startMs = lifecycle.stoppingSinceMs as number;
  lifecycle.notify = (event) => {
    steps.endedMs ??= elapsedMs;
    lifecycle.handle(event);
  };
  const stop = new StopSequence({
    lifecycle,
    stopGraceMs: STOP_GRACE_MS,
    openCount,
    closeIdle: () => {},
    refuseNew: () => {
      steps.refusedMs = elapsedMs;
    },
  });
  for (; elapsedMs < STOP_GRACE_MS; elapsedMs += TICK_MS) {
    stop.tick(startMs + elapsedMs);
  }
  return steps;
}

test("an idle daemon ends 2.3 s after SIGTERM, when callers no longer connect", () => {
  const { refusedMs, endedMs } = runStop(() => 0);
  assert.equal(refusedMs, 2_900);
  assert.equal(endedMs, 2_300);
});

// Guards against requests taken later than 3 s after SIGTERM, because steps are
// taken once per control interval.
test("a daemon with open requests refuses new ones before 3 s and ends when the last is answered", () => {
  const { refusedMs, endedMs } = runStop((elapsedMs) =>
    elapsedMs < 3_400 ? 5 : 0
  );
  assert.equal(refusedMs, 2_900);
  assert.equal(endedMs, 3_500);
});

test("a daemon whose requests do not end ends 0.7 s before the platform kills it", () => {
  const { endedMs } = runStop(() => 1);
  assert.equal(endedMs, 5_300);
});
