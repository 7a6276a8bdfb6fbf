import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseEvicted, STALLED_MIN_MS } from "./eviction_order.ts";

const NOW_MS = 10_000;

function caller(name: string, claimBytes: number, idleMs = 0) {
  return { name, claimBytes, progressAtMs: NOW_MS - idleMs };
}

function choose(callers: ReturnType<typeof caller>[], excessBytes: number) {
  return chooseEvicted(callers, { excessBytes, nowMs: NOW_MS })
    .map(({ name }) => name);
}

// Guards against callers that lose their work to others that only hold memory.
test("callers without progress are chosen before larger ones with progress", () => {
  const callers = [
    caller("large", 900),
    caller("stalled", 10, STALLED_MIN_MS),
    caller("small", 20),
  ];
  assert.deepEqual(choose(callers, 10), ["stalled"]);
  assert.deepEqual(choose(callers, 11), ["stalled", "large"]);
});

test("large callers are chosen before small ones", () => {
  const callers = [caller("small", 1), caller("large", 3), caller("mean", 2)];
  assert.deepEqual(choose(callers, 4), ["large", "mean"]);
});

// Guards against a crowd of equal bodies of which none is ever completed.
test("among equal callers the latest is chosen", () => {
  const callers = [caller("first", 5), caller("second", 5)];
  assert.deepEqual(choose(callers, 5), ["second"]);
});

test("nobody is chosen without an excess, and all when they do not suffice", () => {
  const callers = [caller("a", 5), caller("b", 5)];
  assert.deepEqual(choose(callers, 0), []);
  assert.equal(choose(callers, 100).length, 2);
});
