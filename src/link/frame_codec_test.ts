import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { encodeFrame, encodeFrameParts, FrameReader } from "./frame_codec.ts";

test("frames are decoded in order for any chunk size of the stream", () => {
  fc.assert(
    fc.property(
      fc.array(fc.array(fc.oneof(fc.nat(), fc.string(), fc.boolean()))),
      fc.integer({ min: 1, max: 9 }),
      (frames, chunkBytes) => {
        const bytes = Buffer.concat(frames.map(encodeFrame));
        const reader = new FrameReader();
        const received: unknown[][] = [];
        for (let offset = 0; offset < bytes.length; offset += chunkBytes) {
          reader.push(
            bytes.subarray(offset, offset + chunkBytes),
            (frame) => received.push(frame),
          );
        }
        assert.deepEqual(received, frames);
      },
    ),
    { seed: 5, numRuns: 100 },
  );
});

test("a stream of another protocol is rejected", () => {
  const reader = new FrameReader();
  assert.throws(() => reader.push(Buffer.from("GET / HTTP/1.1"), () => {}));
});

// Guards against several copies of a large body in memory at the same time.
test("a frame with a large body is encoded around the body itself and decoded as any other", () => {
  const element = fc.oneof(fc.nat(), fc.string(), fc.boolean());
  fc.assert(
    fc.property(
      fc.array(element, { maxLength: 20 }),
      fc.array(element, { maxLength: 20 }),
      (before, after) => {
        const body = Buffer.alloc(70_000, 7);
        const frame = [...before, body, ...after];
        const parts = encodeFrameParts(frame);
        assert.ok(parts.includes(body));
        const received: unknown[][] = [];
        new FrameReader().push(
          Buffer.concat(parts),
          (decoded) => received.push(decoded),
        );
        assert.equal(received.length, 1);
        const [decoded] = received as [unknown[]];
        assert.ok(body.equals(decoded[before.length] as Uint8Array));
        assert.deepEqual(
          decoded.toSpliced(before.length, 1),
          [...before, ...after],
        );
      },
    ),
    { seed: 5, numRuns: 50 },
  );
  assert.deepEqual(encodeFrameParts([1, "a"]), [encodeFrame([1, "a"])]);
});

// Frames wait until the end of the event loop's iteration, so one that is encoded
// later must not overwrite the memory of an earlier one.
test("frames that are encoded before any is written stay intact", () => {
  const sent = Array.from(
    { length: 200 },
    (_, number) => [number, "x".repeat(number * 97), Buffer.alloc(number, "y")],
  );
  const bytes = Buffer.concat(sent.map(encodeFrame));
  const received: unknown[] = [];
  new FrameReader().push(bytes, (frame) => received.push(frame));
  assert.deepEqual(received, sent);
});
