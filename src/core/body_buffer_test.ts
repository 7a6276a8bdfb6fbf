import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { BodyBuffer } from "./body_buffer.ts";

test("chunks of any size are joined in their order", () => {
  const size = fc.oneof(
    fc.integer({ min: 0, max: 3 }),
    fc.integer({ min: 1_000, max: 1_050 }),
    fc.integer({ min: 0, max: 70_000 }),
  );
  fc.assert(
    fc.property(fc.array(size, { maxLength: 60 }), (sizes) => {
      const body = new BodyBuffer();
      const chunks = sizes.map((bytes, index) => Buffer.alloc(bytes, index));
      chunks.forEach((chunk) => body.push(chunk));
      const expected = Buffer.concat(chunks);
      assert.equal(body.sizeBytes, expected.length);
      assert.ok(body.concat().equals(expected));
    }),
    { seed: 5 },
  );
});

test("chunks may follow after a concat, and a cleared body is empty", () => {
  const body = new BodyBuffer();
  body.push(Buffer.from("a"));
  body.push(Buffer.from("b"));
  assert.equal(body.concat().toString(), "ab");
  body.push(Buffer.from("c"));
  assert.equal(body.concat().toString(), "abc");
  body.clear();
  assert.equal(body.sizeBytes, 0);
  assert.equal(body.concat().length, 0);
});

// Guards against memory of over a hundred bytes for each chunk of one byte.
test("a million chunks of one byte take little more memory than their bytes", () => {
  const chunk = Buffer.from("x");
  const body = new BodyBuffer();
  const before = process.memoryUsage();
  for (let count = 0; count < 1_000_000; count++) {
    body.push(chunk.subarray(0, 1));
  }
  const after = process.memoryUsage();
  const usedBytes = after.arrayBuffers - before.arrayBuffers;
  assert.ok(usedBytes < 2_000_000, `${usedBytes} bytes`);
  assert.equal(body.concat().length, 1_000_000);
});

test("a body of an expected size is collected without a second copy", () => {
  const size = 200_000;
  const body = new BodyBuffer({ expectedBytes: size });
  const parts = Buffer.alloc(size, "0123456789");
  for (let start = 0; start < size; start += 40_000) {
    body.push(parts.subarray(start, start + 40_000));
  }
  assert.equal(body.sizeBytes, size);
  const joined = body.concat();
  assert.deepEqual(joined, parts);
  assert.equal(joined.buffer.byteLength, size);
});

// Guards against bytes that are lost when a body differs from its announcement.
test("a body larger or smaller than expected is collected", () => {
  for (const sentBytes of [70_000, 300_000]) {
    const body = new BodyBuffer({ expectedBytes: 100_000 });
    const parts = Buffer.alloc(sentBytes, "0123456789");
    for (let start = 0; start < sentBytes; start += 10_000) {
      body.push(parts.subarray(start, start + 10_000));
    }
    assert.deepEqual(body.concat(), parts);
  }
});
