import assert from "node:assert/strict";
import { test } from "node:test";
import { CallerMemory } from "./caller_memory.ts";
import { mayForward } from "./forwarded_bodies.ts";

const MAX_BYTES = 8_388_608;
const LARGE_BYTES = 1_048_576;
const SMALL_BYTES = 60_000;

// Guards against a crowd of complete bodies that takes the memory of the machine
// while its requests wait.
test("large bodies are forwarded until the bound is reached, small ones longer", () => {
  const memory = new CallerMemory(MAX_BYTES);
  memory.hold(MAX_BYTES);
  assert.equal(mayForward(memory, LARGE_BYTES), true);
  memory.hold(1);
  assert.equal(mayForward(memory, LARGE_BYTES), false);
  assert.equal(mayForward(memory, SMALL_BYTES), true);
  memory.hold(MAX_BYTES / 2);
  assert.equal(mayForward(memory, SMALL_BYTES), false);
});
