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
  control.apply({ upstreamId: UPSTREAM_ID, limitPerS: 10 });
  assert.ok(control.waitMs(0) > 1_000, `wait ${control.waitMs(0)} ms`);
});

test("an answer without a limit lifts it", () => {
  const control = createControl();
  control.apply({ upstreamId: UPSTREAM_ID, limitPerS: 10 });
  assert.equal(startedCount(control, 100), 0);
  control.apply({ upstreamId: UPSTREAM_ID, limitPerS: undefined });
  assert.equal(startedCount(control, 100), 100);
});

test("a late answer of a former upstream does not limit its successor", () => {
  const control = createControl();
  control.setUpstream("u-2");
  control.apply({ upstreamId: "u-2", limitPerS: undefined });
  control.apply({ upstreamId: UPSTREAM_ID, limitPerS: 1 });
  assert.equal(control.limitPerS, undefined);
});
