import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { encodeFrame, FrameReader } from "./frame_codec.ts";

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
