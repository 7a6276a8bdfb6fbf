import assert from "node:assert/strict";
import { test } from "node:test";
import { deriveMachineBounds } from "./machine_bounds.ts";

test("a machine that states no limits counts as the smallest one of the deployments", () => {
  const smallest = { memoryMaxBytes: 250_000_000, descriptorsMaxCount: 4_100 };
  assert.deepEqual(deriveMachineBounds({}), deriveMachineBounds(smallest));
});

test("the connections of callers and to the upstream leave descriptors for the rest", () => {
  const { callersMaxCount, upstreamMaxCount } = deriveMachineBounds({
    descriptorsMaxCount: 1_000,
  });
  assert.deepEqual([callersMaxCount, upstreamMaxCount], [600, 200]);
});

// Guards against a heap that is full of heads on a machine with much memory.
test("a process holds no more than a part of its heap", () => {
  const memoryMaxBytes = 600_000_000;
  const { heldMaxBytes } = deriveMachineBounds({ memoryMaxBytes });
  const limited = deriveMachineBounds({
    memoryMaxBytes,
    heapMaxBytes: 200_000_000,
  });
  assert.equal(heldMaxBytes, 125_000_000);
  assert.equal(limited.heldMaxBytes, 80_000_000);
});

test("a machine with less memory than the process needs holds little", () => {
  const { heldMaxBytes } = deriveMachineBounds({ memoryMaxBytes: 1_000_000 });
  assert.equal(heldMaxBytes, 8_388_608);
});
