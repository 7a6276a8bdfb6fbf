import assert from "node:assert/strict";
import { test } from "node:test";
import { CostlyBodies } from "./costly_bodies.ts";

// Guards against a crowd of bodies in tiny chunks that takes all processor time.
test("only a few costly bodies are received at a time", () => {
  const bodies = new CostlyBodies(2);
  const [one, two, three] = [0, 0, 0].map((progressAtMs) => ({ progressAtMs }));
  assert.ok(one && two && three);
  assert.equal(bodies.admit(one, 0), true);
  assert.equal(bodies.admit(two, 0), true);
  assert.equal(bodies.admit(three, 0), false);
  assert.equal(bodies.admit(one, 0), true);
  bodies.delete(two);
  assert.equal(bodies.admit(three, 0), true);
});

// Guards against callers that stop short and keep others from being received.
test("a body without progress gives its place away", () => {
  const bodies = new CostlyBodies(1);
  assert.equal(bodies.admit({ progressAtMs: 0 }, 0), true);
  const other = { progressAtMs: 2_000 };
  assert.equal(bodies.admit(other, 2_000), true);
  assert.equal(bodies.admit({ progressAtMs: 2_000 }, 2_500), false);
});

// Guards against two callers that trickle small chunks and keep both places.
test("a body that trickles gives its place away, one at full speed keeps it", () => {
  const bodies = new CostlyBodies(2);
  const trickling = { progressAtMs: 0 };
  const fast = { progressAtMs: 0 };
  assert.equal(bodies.admit(trickling, 0), true);
  assert.equal(bodies.admit(fast, 0), true);
  for (let nowMs = 100; nowMs <= 1_000; nowMs += 100) {
    trickling.progressAtMs = nowMs;
    fast.progressAtMs = nowMs;
    assert.equal(bodies.admit(fast, nowMs), true);
  }
  const [third, fourth] = [{ progressAtMs: 1_000 }, { progressAtMs: 1_000 }];
  assert.equal(bodies.admit(third, 1_000), true);
  assert.equal(bodies.admit(fourth, 1_000), false);
  assert.equal(bodies.admit(trickling, 1_000), false);
});
