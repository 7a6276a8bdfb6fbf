/** Tests of the division of room among flows. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { divideFairly } from "./fair_share.ts";

function ratiosOf(demands: Record<string, number>, room: number) {
  return Object.fromEntries(
    divideFairly(new Map(Object.entries(demands)), room)
      .map(({ name, admittedRatio }) => [name, admittedRatio]),
  );
}

// Guards against a flow that needs little and is refused as often as a large one.
test("a small flow is admitted whole, and its unused share goes to the others", () => {
  const ratios = ratiosOf({ lookup: 90, credit: 10, order: 20 }, 60);
  assert.deepEqual(ratios, { credit: 1, order: 1, lookup: 30 / 90 });
});

test("with enough room every flow is admitted whole, and without any none is", () => {
  assert.deepEqual(ratiosOf({ a: 3, b: 4 }, 7), { a: 1, b: 1 });
  assert.deepEqual(ratiosOf({ a: 3, b: 4 }, 0), { a: 0, b: 0 });
  assert.deepEqual(ratiosOf({ a: 0 }, 7), {});
});

// Guards against room that is lost or given out twice by the division.
test("exactly the room is given out, and no larger flow gets less than a smaller one", () => {
  const demand = fc.double({ min: 0.01, max: 1_000, noNaN: true });
  fc.assert(
    fc.property(
      fc.array(demand, { minLength: 1, maxLength: 80 }),
      fc.double({ min: 0, max: 1, noNaN: true }),
      (values, ratio) => {
        const total = values.reduce((sum, value) => sum + value, 0);
        const shares = divideFairly(
          new Map(values.map((value, index) => [`f${index}`, value])),
          total * ratio,
        );
        const granted = shares.map((s) => s.demand * s.admittedRatio);
        const sum = granted.reduce((a, b) => a + b, 0);
        assert.ok(Math.abs(sum - total * ratio) <= 1e-6 * total);
        granted.forEach((value, index) =>
          assert.ok(value >= (granted[index - 1] ?? 0) - 1e-6 * total)
        );
      },
    ),
    { seed: 1, numRuns: 200 },
  );
});
