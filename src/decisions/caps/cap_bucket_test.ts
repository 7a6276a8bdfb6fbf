import assert from "node:assert/strict";
import { test } from "node:test";
import { CapBucket } from "./cap_bucket.ts";
import { bucketDepth } from "./cap_limits.ts";

const CAP = { ratePerS: 100, burstCount: 90, windowMs: 5_000 };
const DEPTH = 100;

function createFull(share = 1): CapBucket {
  const bucket = new CapBucket(CAP, 0);
  bucket.changeShare(share, 0);
  bucket.refill(60_000);
  return bucket;
}

test("a new bucket is empty and earns at its share of the rate", () => {
  const bucket = new CapBucket(CAP, 0);
  bucket.changeShare(0.5, 0);
  assert.equal(bucket.take(10, 0), 0);
  assert.equal(bucket.take(100, 200), 10);
});

test("the depth is that of the tenant times the share", () => {
  assert.equal(bucketDepth(CAP), DEPTH);
  assert.equal(createFull(0.25).level, DEPTH / 4);
});

test("a smaller share drops the tokens above the new depth", () => {
  const bucket = createFull();
  bucket.changeShare(0.1, 60_000);
  assert.equal(bucket.level, DEPTH / 10);
});

test("a lowered cap reduces the tokens at once, a raised one adds none", () => {
  const bucket = createFull();
  bucket.changeCap({ ...CAP, ratePerS: 10 }, 60_000);
  assert.equal(bucket.level, DEPTH / 10);
  bucket.changeCap({ ...CAP, burstCount: 1_000 }, 60_000);
  assert.equal(bucket.level, DEPTH / 10);
});

test("returned tokens do not raise the bucket above its depth", () => {
  const bucket = createFull();
  bucket.credit(50, 60_000);
  assert.equal(bucket.level, DEPTH);
});

test("stocks get nothing from the lower half of the bucket, waiting requests do", () => {
  const bucket = createFull();
  bucket.take(60, 60_000);
  assert.equal(bucket.prefetch(10, 60_000), 0);
  assert.equal(bucket.take(10, 60_000), 10);
});

// Guards against stocks that are all used at one moment beside a full bucket.
test("stocks get at most the tokens of 300 ms within the lifetime of a token", () => {
  const bucket = createFull();
  assert.equal(bucket.prefetch(80, 60_000), 30);
  assert.equal(bucket.prefetch(80, 60_100), 0);
  assert.ok(bucket.prefetch(80, 60_500) > 0);
});

test("callers that are refused are told times one after the other", () => {
  const bucket = new CapBucket(CAP, 0);
  bucket.changeShare(1, 0);
  bucket.roomInMs(1);
  const first = bucket.roomInMs(1);
  assert.equal(first, 10);
  const slow = new CapBucket({ ...CAP, ratePerS: 1 }, 0);
  slow.changeShare(1, 0);
  assert.deepEqual([1, 1, 1].map(() => slow.roomInMs(1)), [
    1_000,
    2_000,
    3_000,
  ]);
});
