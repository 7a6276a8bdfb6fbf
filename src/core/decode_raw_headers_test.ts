import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeRawHeaders } from "./decode_raw_headers.ts";

// Guards against headers that are forwarded as bytes or lost.
test("names and values are decoded to strings, and null to an empty list", () => {
  const raw = [Buffer.from("A"), Buffer.from("1"), Buffer.from("b")];
  assert.deepEqual(decodeRawHeaders([...raw, Buffer.from("2")]), [
    "A",
    "1",
    "b",
    "2",
  ]);
  assert.deepEqual(decodeRawHeaders(null), []);
});
