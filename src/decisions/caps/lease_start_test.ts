import assert from "node:assert/strict";
import { test } from "node:test";
import { type KnownMembers, LeaseStart } from "./lease_start.ts";

const KNOWN: KnownMembers = { count: 3, isComplete: true, isNew: false };

/** Returns the time after its start at which a daemon leases first, in ms. */
function firstLeaseMs(membersAt: (nowMs: number) => KnownMembers): number {
  const start = new LeaseStart(5_000);
  for (let nowMs = 5_000; nowMs < 30_000; nowMs += 100) {
    if (start.mayLease(membersAt(nowMs - 5_000), nowMs)) {
      return nowMs - 5_000;
    }
  }
  return Infinity;
}

// Guards against a lease while a daemon knows few members, or the others do not
// know it yet, and against a daemon without the store that never leases.
test("shares are leased from the first complete list, or 10 s after the start", () => {
  assert.equal(firstLeaseMs(() => KNOWN), 1_500);
  const isLate = (ms: number) => ({ ...KNOWN, isComplete: ms >= 4_000 });
  assert.equal(firstLeaseMs(isLate), 4_000);
  const isNew = (ms: number) => ({ ...isLate(ms), isNew: true });
  assert.equal(firstLeaseMs(isNew), 7_000);
  assert.equal(firstLeaseMs(() => ({ ...KNOWN, isComplete: false })), 10_000);
});
