import assert from "node:assert/strict";
import { test } from "node:test";
import { hasTooManyChunks } from "./chunk_allowance.ts";

test("a flood of chunks of one byte is too much", () => {
  const flood = { count: 2_000, sizeBytes: 2_000, elapsedMs: 20 };
  assert.equal(hasTooManyChunks(flood), true);
});

test("a few small chunks, many of a usual size, and small ones over a long time are allowed", () => {
  const few = { count: 1_000, sizeBytes: 1_000, elapsedMs: 0 };
  const large = { count: 100_000, sizeBytes: 6_400_000, elapsedMs: 50 };
  const slow = { count: 10_000, sizeBytes: 10_000, elapsedMs: 20_000 };
  for (const received of [few, large, slow]) {
    assert.equal(hasTooManyChunks(received), false);
  }
});
