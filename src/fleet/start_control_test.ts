import assert from "node:assert/strict";
import { test } from "node:test";
import { NullLogger } from "../telemetry/logger.ts";
import { StartControl } from "./start_control.ts";

const UPSTREAM_ID = "u-1";

function createControl(): StartControl {
  const control = new StartControl({ log: new NullLogger(), onDue: () => {} });
  control.setUpstream(UPSTREAM_ID);
  return control;
}

function answer(
  control: StartControl,
  upstreamId: string,
  limitPerS: number | undefined,
) {
  control.apply({ upstreamId, limitPerS, isLeaving: false });
}

/** Starts requests that do not end, up to a count. */
function startedCount(control: StartControl, maxCount: number): number {
  let count = 0;
  while (count < maxCount && control.mayStart(count)) {
    control.recordStart();
    count++;
  }
  return count;
}

// A restarted daemon does not know the limit that its former process passed on.
test("few requests run until the first answer, and they count towards its limit", () => {
  const control = createControl();
  const count = startedCount(control, 100);
  assert.ok(count <= 16, `${count} started`);
  answer(control, UPSTREAM_ID, 10);
  assert.ok(control.waitMs(0) > 1_000, `wait ${control.waitMs(0)} ms`);
});

test("an answer without a limit lifts it", () => {
  const control = createControl();
  answer(control, UPSTREAM_ID, 10);
  assert.equal(startedCount(control, 100), 0);
  answer(control, UPSTREAM_ID, undefined);
  assert.equal(startedCount(control, 100), 100);
});

test("a late answer of a former upstream does not limit its successor", () => {
  const control = createControl();
  control.setUpstream("u-2");
  answer(control, "u-2", undefined);
  answer(control, UPSTREAM_ID, 1);
  assert.equal(control.limitPerS, undefined);
});
