import assert from "node:assert/strict";
import { test } from "node:test";
import { SelfFence } from "./self_fence.ts";

const SELF_FENCE_MS = 3_000;

// Guards against a daemon that refuses keyed requests forever after one peer
// has suspected it, as happened under overload.
test("the fence is lifted when a peer accepts the suspected daemon again", () => {
  const fence = new SelfFence({ selfFenceMs: SELF_FENCE_MS, startedMs: 0 });
  const connected = { knownPeersCount: 4, lastAckMs: 900, acceptedSinceMs: 0 };
  assert.equal(fence.check(connected, 1_000), false);
  const suspected = { ...connected, acceptedSinceMs: Infinity };
  assert.equal(fence.check(suspected, 1_100), true);
  assert.equal(fence.check({ ...suspected, lastAckMs: 1_150 }, 1_200), true);
  const accepted = { ...connected, lastAckMs: 1_300, acceptedSinceMs: 1_300 };
  assert.equal(fence.check(accepted, 1_350), false);
  assert.equal(fence.ownsSinceMs, 1_350);
});
