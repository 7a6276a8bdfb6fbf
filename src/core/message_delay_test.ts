import assert from "node:assert/strict";
import { test } from "node:test";
import { MessageDelay } from "./message_delay.ts";

/** Difference between the clocks of the two ends. */
const CLOCKS_MS = 7_000;
const TRANSIT_MS = 2;

/** Returns a function that measures a message by its start and its wait. */
function createMeasure() {
  const delay = new MessageDelay();
  return (sentAtMs: number, waitMs: number, isBehind = false) =>
    delay.measure(sentAtMs, {
      nowMs: CLOCKS_MS + sentAtMs + TRANSIT_MS + waitMs,
      isBehind,
    });
}

test("a message that waited is measured against the fastest one", () => {
  const measure = createMeasure();
  assert.equal(measure(0, 30), 0);
  assert.equal(measure(10, 0), 0);
  assert.equal(measure(20, 600), 600);
  assert.equal(measure(30, 590, true), 590);
});

test("a receiver that has been behind since its start knows no delay", () => {
  const measure = createMeasure();
  assert.equal(measure(0, 600, true), undefined);
  assert.equal(measure(1, 599, true), undefined);
  assert.equal(measure(700, 0), 0);
  assert.equal(measure(800, 250, true), 250);
});

// Guards against a clock that is set back, after which messages would count as
// delayed for as long as the connection lasts.
test("a lasting change of the difference counts as a delay for a limited time", () => {
  const measure = createMeasure();
  const waits: (number | undefined)[] = [];
  for (let sentAtMs = 0; sentAtMs < 20_000; sentAtMs += 100) {
    waits.push(measure(sentAtMs, sentAtMs < 1_000 ? 0 : 400));
  }
  assert.equal(waits[10], 400);
  assert.deepEqual(waits.slice(110), waits.slice(110).map(() => 0));
});

test("a connection without messages for long begins anew", () => {
  const measure = createMeasure();
  assert.equal(measure(0, 0), 0);
  assert.equal(measure(30_000, 500), 0);
});
