import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ChurnMap } from "./churn_map.ts";

// Guards against entries that are lost or reappear when the underlying map is
// rebuilt. The sequences are long enough for several rebuilds.
test("a churn map behaves like a Map over long sequences of additions and removals", () => {
  const steps = fc.array(
    fc.record({ key: fc.nat(2_000), add: fc.boolean() }),
    { minLength: 4_000, maxLength: 8_000, size: "max" },
  );
  fc.assert(
    fc.property(steps, (sequence) => {
      const model = new Map<number, object>();
      const map = new ChurnMap<number, object>();
      for (const { key, add } of sequence) {
        const value = { key };
        if (add) {
          model.set(key, value);
          map.set(key, value);
        } else {
          assert.equal(map.delete(key), model.delete(key));
        }
        assert.equal(map.size, model.size);
        assert.equal(map.get(key), model.get(key));
      }
      assert.deepEqual(new Set(map.values()), new Set(model.values()));
    }),
    { seed: 7, numRuns: 10 },
  );
});

test("a map with few retained keys keeps its entries over rebuilds", () => {
  const map = new ChurnMap<number, { value: number }>({ removedMaxCount: 4 });
  map.set(0, { value: 0 });
  for (let key = 1; key <= 50; key++) {
    map.set(key, { value: key });
    map.delete(key);
  }
  assert.equal(map.size, 1);
  assert.deepEqual(map.values(), [{ value: 0 }]);
});

test("a cleared map has no entries and takes new ones", () => {
  const map = new ChurnMap<number, { value: number }>();
  map.set(1, { value: 1 });
  map.clear();
  assert.equal(map.size, 0);
  assert.equal(map.get(1), undefined);
  map.set(1, { value: 2 });
  assert.deepEqual(map.values(), [{ value: 2 }]);
});
