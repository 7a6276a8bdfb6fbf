import assert from "node:assert/strict";
import { test } from "node:test";
import { completableRatio, CompletionLevels } from "./completion_levels.ts";

const REFUSALS = { refusedRatio: 0.5, retryRatio: 0.2 };

/** Admitted share of the requests of a class. */
function admittedRatio(
  levels: CompletionLevels,
  { priority, runs }: { priority: number; runs: number },
): number {
  const samples = Array.from({ length: 1_000 }, (_, index) => index / 1_000);
  return samples.filter((sample) =>
    levels.admits("plates", { priority, sample, runs })
  ).length / samples.length;
}

test("a pool that refuses few requests is not limited", () => {
  assert.equal(completableRatio({ refusedRatio: 0.1, retryRatio: 0.2 }), 1);
  assert.equal(completableRatio(REFUSALS), 0.2);
});

test("the most important class is admitted first, and requests with one run are not limited", () => {
  const levels = new CompletionLevels();
  levels.step("plates", { ...REFUSALS, offered: [10, 0, 90] });
  assert.equal(levels.isLimited("plates"), true);
  assert.equal(admittedRatio(levels, { priority: 0, runs: 4 }), 1);
  assert.ok(admittedRatio(levels, { priority: 2, runs: 8 }) < 0.2);
  assert.equal(admittedRatio(levels, { priority: 2, runs: 1 }), 1);
  levels.step("plates", { refusedRatio: 0, retryRatio: 0.2, offered: [10] });
  assert.equal(levels.isLimited("plates"), false);
});

// Guards against a daemon that refuses all requests after it had none for a while.
test("without recent requests the share of those that come is admitted", () => {
  const levels = new CompletionLevels();
  levels.step("plates", { ...REFUSALS, offered: [] });
  for (const priority of [0, 2]) {
    assert.equal(admittedRatio(levels, { priority, runs: 8 }), 0.2);
  }
});
