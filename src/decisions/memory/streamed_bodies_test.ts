import assert from "node:assert/strict";
import { test } from "node:test";
import { CallerMemory } from "./caller_memory.ts";
import { StreamedBodies } from "./streamed_bodies.ts";

const MEMORY_MAX_BYTES = 8_388_608;

// Guards against a crowd of bodies that cannot be refused and take all memory.
test("streamed bodies take a quarter of the bound at most", () => {
  const memory = new CallerMemory(MEMORY_MAX_BYTES);
  const bodies = new StreamedBodies(memory);
  let count = 0;
  while (bodies.admit()) {
    count++;
  }
  assert.equal(count, 8);
  assert.equal(memory.heldBytes, MEMORY_MAX_BYTES / 4);
  bodies.end();
  assert.equal(bodies.admit(), true);
});

// Guards against a large body within the limits that is never served.
test("a single streamed body is admitted, and no other while memory is full", () => {
  const memory = new CallerMemory(MEMORY_MAX_BYTES);
  const bodies = new StreamedBodies(memory);
  memory.hold(MEMORY_MAX_BYTES + 1);
  assert.equal(bodies.admit(), true);
  assert.equal(bodies.admit(), false);
  memory.release(MEMORY_MAX_BYTES);
  assert.equal(bodies.admit(), true);
});
