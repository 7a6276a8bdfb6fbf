import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type FleetNode,
  MembershipFleet,
} from "../../bench/membership/membership_fleet.ts";

const LIMIT_MS = 60_000;

function startFleet(): MembershipFleet {
  const fleet = new MembershipFleet({ seed: 9 });
  for (const dataCentre of ["dc-a", "dc-b", "dc-c"]) {
    fleet.addNodes(10, { dataCentre, contactsCount: 1 });
  }
  fleet.run(15_000);
  assert.ok(fleet.allSee(fleet.nodes, fleet.nodes, ["alive"]));
  return fleet;
}

function nodesOf(fleet: MembershipFleet, dataCentre: string): FleetNode[] {
  return fleet.nodes.filter((node) => node.dataCentre === dataCentre);
}

function assertWithinLimit(
  fleet: MembershipFleet,
  isDone: () => boolean,
): void {
  assert.ok(fleet.runUntil(isDone, LIMIT_MS) < LIMIT_MS);
}

test("when a data centre restarts with new instances, its old ones are confirmed gone", () => {
  const fleet = startFleet();
  const former = nodesOf(fleet, "dc-b");
  former.forEach((node) => fleet.kill(node));
  fleet.run(30_000);
  fleet.addNodes(10, { dataCentre: "dc-b", contactsCount: 1 });
  const live = fleet.nodes.filter((node) => !former.includes(node));
  assertWithinLimit(fleet, () =>
    fleet.allSee(live, live, ["alive"]) &&
    fleet.allSee(live, former, ["gone"]));
});

test("when all readers of a data centre end, its new readers report this to the others", () => {
  const fleet = startFleet();
  const [observer] = fleet.nodes as [FleetNode];
  const readers = observer.core.readers.listReaders("dc-c");
  const victims = fleet.nodes.filter(({ id }) => readers.includes(id));
  victims.forEach((node) => fleet.kill(node));
  const rest = fleet.nodes.filter((node) => !victims.includes(node));
  assertWithinLimit(fleet, () => fleet.allSee(rest, victims, ["gone"]));
});

test("an update reaches a data centre through a third one when the two cannot connect directly", () => {
  const fleet = startFleet();
  const [leaver] = nodesOf(fleet, "dc-a") as [FleetNode];
  fleet.isPartitioned = (from, to) =>
    from.dataCentre !== to.dataCentre &&
    from.dataCentre !== "dc-b" && to.dataCentre !== "dc-b";
  fleet.send(leaver, { kind: "leave" });
  assertWithinLimit(
    fleet,
    () => fleet.allSee(fleet.nodes, [leaver], ["leaving"]),
  );
});

test("only readers list the readers of other data centres", () => {
  const fleet = startFleet();
  for (const node of fleet.nodes) {
    const expected = node.core.isReader ? 4 : 0;
    assert.equal(node.core.remoteReaderIds.length, expected);
  }
  const readers = fleet.nodes.filter((node) => node.core.isReader);
  assert.equal(readers.length, 6);
});

// Guards against synchronisations that saturate the links between data centres.
// After a partition, the views of many daemons differ at the same time, so that
// they would all synchronise if no interval limited them.
test("a reader synchronises with at most one data centre per second", () => {
  const syncTimesMs = new Map<string, number[]>();
  const fleet = new MembershipFleet({
    seed: 9,
    onMessage: ({ kind, from, to }) => {
      if (kind === "sync" && from.dataCentre !== to?.dataCentre) {
        const times = syncTimesMs.get(from.id) ?? [];
        syncTimesMs.set(from.id, [...times, fleet.schedule.nowMs]);
      }
    },
  });
  for (const dataCentre of ["dc-a", "dc-b", "dc-c"]) {
    fleet.addNodes(10, { dataCentre, contactsCount: 1 });
  }
  fleet.run(15_000);
  fleet.isPartitioned = (from, to) => from.dataCentre !== to.dataCentre;
  fleet.nodes.forEach((node) => {
    fleet.send(node, { kind: "placed", place: { slotsCount: 99 } });
  });
  fleet.run(10_000);
  syncTimesMs.clear();
  fleet.isPartitioned = () => false;
  fleet.run(10_000);
  assert.ok(syncTimesMs.size > 0, "no reader synchronised");
  for (const times of syncTimesMs.values()) {
    const gapsMs = times.slice(1).map((time, index) =>
      time - (times[index] as number)
    );
    // The latency of a message varies by less than 1 ms.
    assert.ok(gapsMs.every((gapMs) => gapMs >= 999), `${gapsMs}`);
  }
});
