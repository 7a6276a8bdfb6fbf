import assert from "node:assert/strict";
import { test } from "node:test";
import { runBounded } from "../testing/run_bounded.ts";
import { copyEndToEndHeaders } from "./header_names.ts";

test("hop-by-hop headers, those that any Connection field lists, and dropped ones are omitted", () => {
  const rawHeaders = [
    ["Connection", "X-One"],
    ["Connection", "close, X-Two"],
    ["Keep-Alive", "timeout=5"],
    ["X-One", "1"],
    ["X-Two", "2"],
    ["X-Three", "3"],
    ["Tenant", "amber"],
  ].flat();
  assert.deepEqual(copyEndToEndHeaders(rawHeaders, ["tenant"]), [
    "X-Three",
    "3",
  ]);
});

// Guards against one request of a caller that stops the daemon for 0.4 s.
test("a Connection field with a long run of spaces takes linear time", () => {
  const field = `a${" ".repeat(1_000_000)}b`;
  assert.deepEqual(
    runBounded(() => copyEndToEndHeaders(["Connection", field, "X", "1"], [])),
    ["X", "1"],
  );
});
