import assert from "node:assert/strict";
import { test } from "node:test";
import { FailureDetector, type ProbeConclusion } from "./failure_detector.ts";

const ID = "plates-1";

function createDetector(): FailureDetector {
  const detector = new FailureDetector();
  detector.setTargets([ID], 0);
  return detector;
}

function miss(
  detector: FailureDetector,
  version: { incarnationEpochMs?: number; sequence?: number } = {},
): ProbeConclusion {
  return detector.recordFailure(ID, {
    failure: "timeout",
    isLoopLate: false,
    version: {
      incarnationEpochMs: 1,
      sequence: 0,
      state: "alive",
      ...version,
    },
  });
}

/** Counts the misses until the observer suspects the member. */
function countMisses(detector: FailureDetector, sequence: number): number {
  for (let count = 1; count <= 100; count++) {
    if (miss(detector, { sequence }) === "suspect") {
      return count;
    }
  }
  return Number.POSITIVE_INFINITY;
}

test("an answer resets the count of consecutive misses", () => {
  const detector = createDetector();
  assert.equal(miss(detector), "none");
  detector.recordAnswer(ID);
  assert.equal(miss(detector), "none");
  assert.equal(miss(detector), "suspect");
});

test("each refutation doubles the misses needed for a suspicion, up to 16", () => {
  const detector = createDetector();
  const counts = [0, 1, 2, 3, 4].map((sequence) => {
    const count = countMisses(detector, sequence);
    detector.recordAnswer(ID);
    return count;
  });
  assert.deepEqual(counts, [2, 4, 8, 16, 16]);
});

test("answers lower the number of misses needed for a suspicion to the initial two", () => {
  const detector = createDetector();
  [0, 1, 2].forEach((sequence) => countMisses(detector, sequence));
  for (let round = 0; round < 30; round++) {
    detector.recordAnswer(ID);
  }
  // The version that is already suspected is not suspected again. Its refutation
  // doubles the initial two misses.
  assert.equal(countMisses(detector, 2), Number.POSITIVE_INFINITY);
  assert.equal(countMisses(detector, 3), 4);
});

test("a new incarnation needs only two misses for a suspicion", () => {
  const detector = createDetector();
  countMisses(detector, 5);
  detector.recordAnswer(ID);
  assert.equal(miss(detector, { incarnationEpochMs: 2 }), "none");
  assert.equal(miss(detector, { incarnationEpochMs: 2 }), "suspect");
});

test("only two consecutive refusals, or answers of another instance, confirm a member's end", () => {
  const detector = createDetector();
  const probe = {
    isLoopLate: true,
    version: { incarnationEpochMs: 1, sequence: 0, state: "alive" },
  } as const;
  const fail = (failure: "refused" | "replaced" | "timeout") =>
    detector.recordFailure(ID, { ...probe, failure });
  assert.equal(fail("refused"), "none");
  assert.equal(fail("timeout"), "none");
  assert.equal(fail("refused"), "none");
  assert.equal(fail("replaced"), "gone");
});
