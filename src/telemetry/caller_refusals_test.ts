import assert from "node:assert/strict";
import { test } from "node:test";
import { CallerRefusals } from "./caller_refusals.ts";
import { NullLogger } from "./logger.ts";

// Guards against a crowd of callers that fills the log.
test("all refusals are counted, and few of them logged", () => {
  const lines: unknown[] = [];
  const log = new NullLogger();
  log.warn = (...line) => lines.push(line);
  const refusals = new CallerRefusals(log);
  for (let index = 0; index < 100; index++) {
    refusals.record("memory_short", { heldBytes: index });
  }
  assert.equal(refusals.countOf("memory_short"), 100);
  assert.equal(refusals.countOf("body_timeout"), 0);
  assert.equal(lines.length, 5);
});
