import assert from "node:assert/strict";
import { test } from "node:test";
import { CONTROL_TICK_MS, InputDelay } from "./input_delay.ts";

/** Event loop whose times the test advances. */
function createLoop() {
  let nowMs = 0;
  let idleMs = 0;
  const delay = new InputDelay({
    nowMs: () => nowMs,
    readIdleMs: () => idleMs,
  });
  return {
    delay,
    run: (durationMs: number) => nowMs += durationMs,
    wait: (durationMs: number) => {
      nowMs += durationMs;
      idleMs += durationMs;
    },
  };
}

test("input that is read after a wait for input has not waited", () => {
  const { delay, run, wait } = createLoop();
  run(500);
  wait(80);
  run(2);
  assert.equal(delay.measureMs(), 502);
  wait(80);
  run(2);
  assert.equal(delay.measureMs(), 2);
  assert.equal(delay.isBehind, false);
});

// Guards against a process that is slowed by many short pauses: none of its
// iterations is long, but it never catches up with its input.
test("a process that is busy without a wait for input is behind", () => {
  const { delay, run, wait } = createLoop();
  wait(10);
  delay.measureMs();
  for (let step = 1; step <= 20; step++) {
    run(60);
    assert.equal(delay.measureMs(), step * 60);
    assert.equal(delay.tick(), 0);
    assert.equal(delay.measureStallMs(), 0);
  }
  assert.ok(delay.isBehind);
  wait(1);
  assert.equal(delay.isBehind, false);
});

test("a pause during the wait for input shows before and after the late tick", () => {
  const { delay, run, wait } = createLoop();
  delay.tick();
  wait(CONTROL_TICK_MS + 1_000);
  assert.equal(delay.measureMs(), 1_000);
  assert.equal(delay.measureStallMs(), 1_000);
  assert.equal(delay.tick(), 1_000);
  run(5);
  assert.equal(delay.measureMs(), 1_005);
  assert.equal(delay.measureStallMs(), 1_000);
  wait(1);
  run(5);
  assert.equal(delay.measureMs(), 5);
  assert.equal(delay.measureStallMs(), 0);
});

test("a tick that is hardly late shows no stall", () => {
  const { delay, wait } = createLoop();
  assert.equal(delay.tick(), 0);
  wait(CONTROL_TICK_MS + 20);
  assert.equal(delay.tick(), 0);
});

test("the longest delay is told once", () => {
  const { delay, run, wait } = createLoop();
  run(400);
  delay.measureMs();
  wait(1);
  delay.measureMs();
  assert.equal(delay.takeLongestMs(), 400);
  assert.equal(delay.takeLongestMs(), 0);
});
