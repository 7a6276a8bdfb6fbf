import assert from "node:assert/strict";
import { test } from "node:test";
import { listCapCandidates, rankCapOwners } from "./owner_choice.ts";
import { type CandidateView, OwnerPointer } from "./owner_pointer.ts";

const MEMBERS = Array.from({ length: 65 }, (_, index) => ({
  name: `d-${index}`,
  dataCentre: `dc-${index % 3}`,
}));
const TENANTS = Array.from({ length: 75 }, (_, index) => `tenant-${index}`);

test("each data centre has two candidates, in whatever order members are known", () => {
  const candidates = listCapCandidates(MEMBERS);
  assert.equal(candidates.length, 6);
  const reversed = listCapCandidates([...MEMBERS].reverse());
  assert.deepEqual([...reversed].sort(), [...candidates].sort());
});

test("a candidate that leaves moves only its own tenants", () => {
  const candidates = listCapCandidates(MEMBERS);
  const [left, ...others] = candidates;
  for (const tenant of TENANTS) {
    const [before] = rankCapOwners(tenant, candidates);
    if (before !== left) {
      assert.equal(rankCapOwners(tenant, others)[0], before);
    }
  }
});

test("tenants are distributed over all candidates", () => {
  const candidates = listCapCandidates(MEMBERS);
  const owners = new Set(
    TENANTS.map((tenant) => rankCapOwners(tenant, candidates)[0]),
  );
  assert.equal(owners.size, candidates.length);
});

function createView(up: Map<string, number>): CandidateView {
  return {
    ownName: "own",
    candidates: ["a", "b", "c"],
    upSinceMs: (name) => up.get(name),
    isConnected: (name) => up.has(name),
  };
}

test("a working owner is left for a preferred one only when that is stable", () => {
  const [first, second] = rankCapOwners("t", ["a", "b", "c"]) as [
    string,
    string,
  ];
  const up = new Map([[second, 0]]);
  const view = createView(up);
  const pointer = new OwnerPointer("t");
  pointer.choose(view, true, 100);
  assert.equal(pointer.owner, second);
  up.set(first, 1_000);
  assert.equal(pointer.choose(view, true, 2_000), undefined);
  assert.equal(pointer.choose(view, true, 3_000), second);
  assert.equal(pointer.owner, first);
  up.delete(first);
  assert.equal(pointer.choose(view, true, 3_100), first);
  assert.equal(pointer.owner, second);
});

test("a daemon without a lease moves to a preferred owner at once", () => {
  const [first, second] = rankCapOwners("t", ["a", "b", "c"]) as [
    string,
    string,
  ];
  const up = new Map([[second, 0]]);
  const pointer = new OwnerPointer("t");
  pointer.choose(createView(up), false, 100);
  up.set(first, 200);
  pointer.choose(createView(up), false, 200);
  assert.equal(pointer.owner, first);
});

test("without a connected candidate a daemon owns its own share", () => {
  const pointer = new OwnerPointer("t");
  pointer.choose(createView(new Map()), false, 0);
  assert.equal(pointer.owner, "own");
});

// Guards against a share that two owners count at the same time.
test("a share is leased to another owner only when the former lease has surely ended", () => {
  const up = new Map([["a", 0], ["b", 0], ["c", 0]]);
  const view = createView(up);
  const pointer = new OwnerPointer("t");
  pointer.choose(view, false, 0);
  assert.ok(pointer.mayLease(0));
  const former = pointer.owner as string;
  up.delete(former);
  pointer.choose(view, true, 100);
  pointer.hold(former, 1_400, 7);
  assert.ok(!pointer.mayLease(1_300));
  pointer.release(former, 6);
  assert.ok(!pointer.mayLease(1_300));
  pointer.release(former, 7);
  assert.ok(pointer.mayLease(1_300));
  pointer.hold(former, 1_400, 8);
  assert.ok(pointer.mayLease(1_400));
});
