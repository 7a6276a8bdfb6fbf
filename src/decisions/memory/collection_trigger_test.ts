import assert from "node:assert/strict";
import { test } from "node:test";
import { CollectionTrigger } from "./collection_trigger.ts";

const MEMORY_MAX_BYTES = 200_000_000;
const BODY_BYTES = 1_048_576;

function createTrigger(usedBytes: number) {
  const state = { usedBytes, collectionsCount: 0 };
  const trigger = new CollectionTrigger({
    memoryMaxBytes: MEMORY_MAX_BYTES,
    usedBytes: () => state.usedBytes,
    collect: () => state.collectionsCount++,
  });
  return { state, trigger };
}

// Guards against the garbage of refused bodies that exceeds the memory.
test("garbage is collected when bodies end while memory is short", () => {
  const { state, trigger } = createTrigger(170_000_000);
  trigger.endBody(BODY_BYTES, 0);
  assert.equal(state.collectionsCount, 0);
  trigger.endBody(BODY_BYTES, 0);
  assert.equal(state.collectionsCount, 1);
});

// Guards against pauses of the event loop on a machine with enough memory.
test("nothing is collected while there is memory", () => {
  const { state, trigger } = createTrigger(150_000_000);
  for (let index = 0; index < 100; index++) {
    trigger.endBody(BODY_BYTES, index * 1_000);
  }
  assert.equal(state.collectionsCount, 0);
});

// Guards against a process that does nothing but collect.
test("collections have a distance in time", () => {
  const { state, trigger } = createTrigger(190_000_000);
  for (let nowMs = 0; nowMs < 1_000; nowMs++) {
    trigger.endBody(BODY_BYTES, nowMs);
  }
  assert.ok(state.collectionsCount <= 10, `${state.collectionsCount}`);
  assert.ok(state.collectionsCount >= 9, `${state.collectionsCount}`);
});
