import assert from "node:assert/strict";
import { test } from "node:test";
import { CallTimes } from "./call_times.ts";

// The sum of parallel calls may exceed the whole run, and the own time of the
// request would be negative.
test("the time of parallel calls counts once, and that of an open call counts so far", () => {
  const times = new CallTimes();
  times.start(10);
  times.start(20);
  times.end(40);
  assert.equal(times.totalMs(45), 35);
  times.end(50);
  assert.equal(times.totalMs(60), 40);
  times.start(70);
  assert.equal(times.totalMs(75), 45);
});
