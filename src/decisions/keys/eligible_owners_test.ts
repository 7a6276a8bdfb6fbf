import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { EligibleOwners, type OwnerEvent } from "./eligible_owners.ts";

const HANDOVER_MS = 10_000;
const RETENTION_MS = 600_000;

function record(owners: EligibleOwners, ...events: OwnerEvent[]): void {
  events.forEach((event) => owners.record(event));
}

function joined(instanceId: string, atMs: number): OwnerEvent {
  return { kind: "joined", instanceId, atMs };
}

function dead(instanceId: string, atMs: number): OwnerEvent {
  return { kind: "dead", instanceId, atMs };
}

function gone(instanceId: string, atMs: number): OwnerEvent {
  return { kind: "gone", instanceId, atMs };
}

test("members of a new pool are eligible at once, and later ones after the handover time", () => {
  const owners = new EligibleOwners();
  record(owners, joined("a", 0), joined("b", 0));
  assert.deepEqual(owners.current(1), ["a", "b"]);
  record(owners, joined("c", 20_000));
  assert.deepEqual(owners.current(29_999), ["a", "b"]);
  assert.deepEqual(owners.current(30_000), ["a", "b", "c"]);
});

// Guards against all keys of a new pool moving to its first member, and back,
// while the daemons still disagree about the times of the joins.
test("a new pool keeps its owners when the handover time of its first member ends", () => {
  const owners = new EligibleOwners();
  record(owners, joined("a", 0), joined("b", 1_500), joined("c", 3_000));
  assert.deepEqual(owners.current(9_999), ["a", "b", "c"]);
  assert.deepEqual(owners.current(10_000), ["a", "b", "c"]);
  const lists = owners.history(30_000, { sinceMs: 3_000 });
  assert.deepEqual(lists.map((list) => list.fromMs), [3_000]);
});

test("a member that was declared dead without confirmation stays eligible for the handover time", () => {
  const owners = new EligibleOwners();
  record(owners, joined("a", 0), joined("b", 0), dead("b", 50_000));
  assert.deepEqual(owners.current(59_999), ["a", "b"]);
  assert.deepEqual(owners.current(60_000), ["a"]);
});

test("the confirmed end of a member ends its eligibility at once, also after it was declared dead", () => {
  const owners = new EligibleOwners();
  record(owners, joined("a", 0), joined("b", 0), joined("c", 0));
  record(owners, gone("b", 50_000), dead("c", 50_000));
  assert.deepEqual(owners.current(50_000), ["a", "c"]);
  record(owners, gone("c", 52_000));
  assert.deepEqual(owners.current(52_000), ["a"]);
});

test("a member that rejoins after it was declared dead is eligible again after the handover time", () => {
  const owners = new EligibleOwners();
  record(owners, joined("a", 0), joined("b", 0));
  record(owners, dead("b", 50_000), joined("b", 65_000));
  const lists = owners.history(80_000, { sinceMs: 55_000 });
  assert.deepEqual(lists.map((list) => list.instanceIds), [
    ["a", "b"],
    ["a"],
    ["a", "b"],
  ]);
  assert.deepEqual(lists.slice(1).map((list) => list.fromMs), [60_000, 75_000]);
});

test("the first list of a history was in force at the start of the period", () => {
  const owners = new EligibleOwners();
  record(owners, joined("a", 0), joined("b", 0), gone("b", 50_000));
  const [first] = owners.history(50_001, { sinceMs: 50_000 });
  assert.deepEqual(first, { fromMs: 50_000, instanceIds: ["a"] });
  assert.equal(owners.history(50_001, { sinceMs: 49_999 }).length, 2);
});

test("the history is bounded by the retention time", () => {
  const owners = new EligibleOwners();
  record(owners, joined("a", 0));
  for (let round = 1; round <= 1_000; round++) {
    record(owners, joined("b", round * 10_000));
    record(owners, gone("b", round * 10_000 + 5_000));
    owners.current(round * 10_000 + 5_000);
  }
  const lists = owners.history(10_005_000, { sinceMs: 0 });
  assert.ok(lists.length <= 2 * RETENTION_MS / 10_000, `${lists.length}`);
});

const idArbitrary = fc.constantFrom("a", "b", "c", "d");
const eventArbitrary = fc.record({
  kind: fc.constantFrom("joined", "dead", "gone"),
  instanceId: idArbitrary,
  gapMs: fc.integer({ min: 0, max: 8_000 }),
});

/** Reference: eligible members at a time, computed from all events. */
function listExpected(events: OwnerEvent[], atMs: number): string[] {
  const known = events.filter((event) => event.atMs <= atMs);
  const live: { id: string; joinedMs: number }[] = [];
  const handingOver: string[] = [];
  for (const id of ["a", "b", "c", "d"]) {
    const own = known.filter((event) => event.instanceId === id);
    const last = own.at(-1);
    if (last?.kind === "joined") {
      live.push({ id, joinedMs: last.atMs });
    }
    const lost = own.findLastIndex((event) => event.kind !== "joined");
    const death = own[lost];
    const hadJoined = own.slice(0, lost).some((event) =>
      event.kind === "joined"
    );
    if (
      hadJoined && death?.kind === "dead" && own[lost - 1]?.kind === "joined" &&
      death.atMs + HANDOVER_MS > atMs
    ) handingOver.push(id);
  }
  const settled = live.filter(({ joinedMs }) =>
    joinedMs + HANDOVER_MS <= atMs ||
    live.every((other) => joinedMs <= other.joinedMs + HANDOVER_MS)
  );
  return [...new Set([...settled.map(({ id }) => id), ...handingOver])].sort();
}

test("the computed lists agree with a reference for random events", () => {
  fc.assert(
    fc.property(fc.array(eventArbitrary, { maxLength: 30 }), (steps) => {
      const owners = new EligibleOwners();
      const events: OwnerEvent[] = [];
      let atMs = 0;
      for (const { kind, instanceId, gapMs } of steps) {
        const before = events.findLast((one) => one.instanceId === instanceId);
        // The membership reports the loss of live members only.
        if (kind !== "joined" && before?.kind !== "joined") continue;
        atMs += gapMs;
        const event = { kind, instanceId, atMs } as OwnerEvent;
        events.push(event);
        owners.record(event);
        const nowMs = atMs + gapMs / 2;
        assert.deepEqual(owners.current(nowMs), listExpected(events, nowMs));
        atMs = nowMs;
      }
    }),
    { seed: 20, numRuns: 500 },
  );
});
