import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeRawHeaders } from "./decode_raw_headers.ts";

// Guards against headers that are passed on as bytes, or that are missing.
test("names and values are strings, and an absent head has none", () => {
  const raw = [Buffer.from("A"), Buffer.from("1"), Buffer.from("b")];
  assert.deepEqual(decodeRawHeaders([...raw, Buffer.from("2")]), [
    "A",
    "1",
    "b",
    "2",
  ]);
  assert.deepEqual(decodeRawHeaders(null), []);
});
