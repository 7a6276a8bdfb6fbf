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

// Guards against an answer that cannot be written because a byte of its head is
// replaced by a character beyond Latin-1.
test("each byte of a value becomes the character with its number", () => {
  const bytes = Buffer.from([0x61, 0x80, 0xe9, 0xff, 0xc3, 0xa9]);
  assert.deepEqual(decodeRawHeaders([Buffer.from("name"), bytes]), [
    "name",
    "a\u0080\u00e9\u00ff\u00c3\u00a9",
  ]);
});
