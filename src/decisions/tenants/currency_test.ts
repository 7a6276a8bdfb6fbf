import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../../core/clock.ts";
import { Currency, isReadDue } from "./currency.ts";
import { readInstant } from "./elapsed_clock.ts";

function start() {
  const clock = new ManualClock(1_000_000);
  const currency = new Currency();
  const now = () => readInstant(clock);
  return { clock, currency, now, ageMs: () => currency.ageMs(now()) };
}

test("the currency is as of the moment at which the call was sent, less the age of a peer's", () => {
  const { clock, currency, now, ageMs } = start();
  assert.equal(ageMs(), Infinity);
  const sent = now();
  clock.advance(1_200);
  currency.prove(sent, now());
  assert.equal(ageMs(), 1_200);
  const asked = now();
  clock.advance(300);
  currency.prove(asked, now(), 400);
  assert.equal(ageMs(), 700);
  // An answer that was delayed proves less than what is known already.
  currency.prove(sent, now());
  assert.equal(ageMs(), 700);
});

// Guards against a withdrawn key that a suspended machine accepts when it wakes
// up: its monotonic clock has stood still.
test("a suspension counts, also before the answer to an open call, and a wall clock that jumps back later does not undo it", () => {
  const { clock, currency, now, ageMs } = start();
  const sent = now();
  clock.jumpWall(8_000);
  currency.prove(sent, now());
  assert.equal(ageMs(), 8_000);
  clock.jumpWall(-8_000);
  assert.equal(ageMs(), 8_000);
  clock.advance(50);
  assert.equal(ageMs(), 8_050);
  clock.jumpWall(3_000);
  assert.equal(ageMs(), 11_050);
});

// Guards against an age that grows with the number of its readings.
test("the resolution of the wall clock does not add up", () => {
  const { clock, currency, now, ageMs } = start();
  currency.prove(now(), now());
  for (let index = 0; index < 10_000; index++) {
    clock.advance(0.25);
    clock.jumpWall(index % 2 === 0 ? 0.7 : -0.7);
    ageMs();
  }
  assert.ok(Math.abs(ageMs() - 2_500) < 1);
});

test("the store is read at most once a second, by a watcher earlier than by others", () => {
  const due = (ageMs: number, sinceReadMs: number, isWatching = false) =>
    isReadDue({ ageMs, sinceReadMs, isWatching });
  assert.deepEqual(
    [due(2_500, 9_000), due(2_501, 999), due(2_501, 1_000)],
    [false, false, true],
  );
  assert.deepEqual(
    [due(1_000, 9_000, true), due(1_001, 1_000, true)],
    [false, true],
  );
});
