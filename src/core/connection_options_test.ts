import assert from "node:assert/strict";
import { test } from "node:test";
import { runBounded } from "../testing/run_bounded.ts";
import { parseConnectionOptions } from "./connection_options.ts";

const SPACES = " ".repeat(1_000_000);

test("options are separated by commas, without the spaces around them", () => {
  assert.deepEqual(
    [...parseConnectionOptions("Keep-Alive ,\tX-Trace,, x-trace")],
    ["keep-alive", "x-trace", ""],
  );
  assert.equal(parseConnectionOptions("Close").size, 0);
  assert.equal(parseConnectionOptions(undefined).size, 0);
});

// Guards against a field with a long run of spaces that stops the event loop.
test("a long run of spaces takes linear time", () => {
  const options = runBounded(() => parseConnectionOptions(`a${SPACES}b`));
  assert.deepEqual([...options], [`a${SPACES}b`]);
});
