import assert from "node:assert/strict";
import { test } from "node:test";
import { RetainedMembers } from "./retained_members.ts";

const MINUTE_MS = 60_000;

function createMembers(names: string) {
  return [...names].map((name) => ({
    name,
    dataCentre: name === name.toUpperCase() ? "upper" : "lower",
  }));
}

// Guards against a divisor that falls in a partition, and against one that grows
// each time that members are replaced by others with new names.
test("forgotten members count for a day unless they were replaced or have returned", () => {
  const retained = new RetainedMembers();
  const counts: number[] = [];
  const know = (names: string, atMinutes: number) => {
    retained.update(createMembers(names), atMinutes * MINUTE_MS, {
      isComplete: true,
    });
    counts.push(retained.count(atMinutes * MINUTE_MS));
  };
  know("abcABC", 0);
  // A member is replaced before it is forgotten, another one after that.
  know("abcdABC", 30);
  know("bcdABC", 40);
  know("cdABC", 100);
  know("cdeABC", 110);
  // A data centre is cut off, a member joins in the other one, and one returns.
  know("cde", 200);
  know("cdef", 210);
  know("cdefA", 220);
  know("cdefA", 200 + 24 * 60 + 1);
  assert.deepEqual(counts, [6, 7, 6, 6, 6, 6, 7, 7, 5]);
});

// Guards against members that a daemon learns late, because the store was down at
// its start, and that are then taken for replacements of those that are cut off.
test("members of a first list that comes late replace none", () => {
  const retained = new RetainedMembers();
  retained.update(createMembers("a"), 0, { isComplete: false });
  retained.update(createMembers("abcABC"), 2 * MINUTE_MS, { isComplete: true });
  retained.update(createMembers("ab"), 30 * MINUTE_MS, { isComplete: true });
  assert.equal(retained.count(30 * MINUTE_MS), 6);
});
