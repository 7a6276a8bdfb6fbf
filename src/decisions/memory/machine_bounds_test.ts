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

test("a machine with less memory than the process needs holds little", () => {
  const { heldMaxBytes } = deriveMachineBounds({ memoryMaxBytes: 1_000_000 });
  assert.equal(heldMaxBytes, 8_388_608);
});
