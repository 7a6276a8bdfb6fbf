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
  assert.ok(fleet.allHold(fleet.nodes, fleet.nodes, ["alive"]));
  return fleet;
}

function listOf(fleet: MembershipFleet, dataCentre: string): FleetNode[] {
  return fleet.nodes.filter((node) => node.dataCentre === dataCentre);
}

function holdsWithin(fleet: MembershipFleet, isDone: () => boolean): void {
  assert.ok(fleet.runUntil(isDone, LIMIT_MS) < LIMIT_MS);
}

test("a data centre that returns with new instances loses the old ones", () => {
  const fleet = startFleet();
  const former = listOf(fleet, "dc-b");
  former.forEach((node) => fleet.kill(node));
  fleet.run(30_000);
  fleet.addNodes(10, { dataCentre: "dc-b", contactsCount: 1 });
  const live = fleet.nodes.filter((node) => !former.includes(node));
  holdsWithin(fleet, () =>
    fleet.allHold(live, live, ["alive"]) &&
    fleet.allHold(live, former, ["gone"]));
});

test("a data centre whose readers end together gets new ones", () => {
  const fleet = startFleet();
  const [observer] = fleet.nodes as [FleetNode];
  const readers = observer.core.readers.listReaders("dc-c");
  const victims = fleet.nodes.filter(({ id }) => readers.includes(id));
  victims.forEach((node) => fleet.kill(node));
  const rest = fleet.nodes.filter((node) => !victims.includes(node));
  holdsWithin(fleet, () => fleet.allHold(rest, victims, ["gone"]));
});

test("an update reaches a data centre through a third one", () => {
  const fleet = startFleet();
  const [leaver] = listOf(fleet, "dc-a") as [FleetNode];
  fleet.isCut = (from, to) =>
    from.dataCentre !== to.dataCentre &&
    from.dataCentre !== "dc-b" && to.dataCentre !== "dc-b";
  fleet.send(leaver, { kind: "leave" });
  holdsWithin(fleet, () => fleet.allHold(fleet.nodes, [leaver], ["leaving"]));
});

test("only readers name the readers of other data centres", () => {
  const fleet = startFleet();
  for (const node of fleet.nodes) {
    const expected = node.core.isReader ? 4 : 0;
    assert.equal(node.core.remoteReaderIds.length, expected);
  }
  const readers = fleet.nodes.filter((node) => node.core.isReader);
  assert.equal(readers.length, 6);
});

// After a partition many daemons compare their views; the pace keeps that from
// filling the links between data centres.
test("a reader compares with at most one data centre per second", () => {
  const comparedMs = new Map<string, number[]>();
  const fleet = new MembershipFleet({
    seed: 9,
    onMessage: ({ kind, from, to }) => {
      if (kind === "sync" && from.dataCentre !== to?.dataCentre) {
        const times = comparedMs.get(from.id) ?? [];
        comparedMs.set(from.id, [...times, fleet.schedule.nowMs]);
      }
    },
  });
  for (const dataCentre of ["dc-a", "dc-b", "dc-c"]) {
    fleet.addNodes(10, { dataCentre, contactsCount: 1 });
  }
  fleet.run(15_000);
  fleet.isCut = (from, to) => from.dataCentre !== to.dataCentre;
  fleet.nodes.forEach((node) => {
    fleet.send(node, { kind: "placed", place: { slotsCount: 99 } });
  });
  fleet.run(10_000);
  comparedMs.clear();
  fleet.isCut = () => false;
  fleet.run(10_000);
  assert.ok(comparedMs.size > 0, "nobody compared");
  for (const times of comparedMs.values()) {
    const gapsMs = times.slice(1).map((time, index) =>
      time - (times[index] as number)
    );
    // The latency of a message varies by less than 1 ms.
    assert.ok(gapsMs.every((gapMs) => gapMs >= 999), `${gapsMs}`);
  }
});
