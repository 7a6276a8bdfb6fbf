import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { StartRate } from "./start_rate.ts";

const WINDOW_MS = 4_000;

/** Starts a request at each of the given times at which one is allowed. */
function startedAtMs(perS: number, askedAtMs: readonly number[]): number[] {
  const rate = new StartRate();
  rate.set(perS, 0);
  return askedAtMs.filter((nowMs) => {
    const mayStart = rate.mayStart(nowMs);
    if (mayStart) {
      rate.recordStart(nowMs);
    }
    return mayStart;
  });
}

test("without a limit every request may be started", () => {
  const rate = new StartRate();
  rate.recordStart(0);
  assert.equal(rate.mayStart(0), true);
  assert.equal(rate.waitMs(0, 100), 0);
});

// An upstream in overload gets more than it takes if an idle time is made up for.
test("in no 4 s are more than one and a half times the rate, and five, started", () => {
  fc.assert(
    fc.property(
      fc.double({ min: 0, max: 200, noNaN: true }),
      fc.array(fc.integer({ min: 0, max: 40 }), {
        minLength: 1,
        maxLength: 400,
      }),
      (perS, gapsMs) => {
        let nowMs = 0;
        const started = startedAtMs(perS, gapsMs.map((gap) => nowMs += gap));
        for (const fromMs of started) {
          const count = started.filter((atMs) =>
            atMs >= fromMs && atMs < fromMs + WINDOW_MS
          ).length;
          assert.ok(count <= 1.5 * perS * WINDOW_MS / 1_000 + 5);
        }
      },
    ),
    { seed: 25, numRuns: 200 },
  );
});

test("an upstream that takes nothing gets a request in two seconds, to see its next limit", () => {
  const asked = Array.from({ length: 1_000 }, (_, index) => index * 10);
  assert.equal(startedAtMs(0, asked).length, 4);
});

test("the wait is that of the requests ahead, and ends with the limit", () => {
  const rate = new StartRate();
  rate.set(10, 0);
  assert.equal(rate.waitMs(0), 100);
  assert.equal(rate.waitMs(0, 4), 500);
  rate.set(undefined, 0);
  assert.equal(rate.waitMs(0, 4), 0);
});
