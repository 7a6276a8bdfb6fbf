import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  StringDecoder,
  StringEncoder,
  type WireString,
} from "./string_table.ts";

test("strings are the same after encoding and decoding", () => {
  const texts = fc.array(
    fc.oneof(fc.constantFrom("host", "accept", "r-1"), fc.string()),
    { maxLength: 300 },
  );
  fc.assert(
    fc.property(texts, (sent) => {
      const encoder = new StringEncoder();
      const decoder = new StringDecoder();
      assert.deepEqual(decoder.decodeAll(encoder.encodeAll(sent)), sent);
    }),
    { seed: 3, numRuns: 100 },
  );
});

test("an index without a table entry is rejected", () => {
  const unknown: WireString = 4;
  assert.throws(() => new StringDecoder().decode(unknown), /has no entry 4/);
});
