import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type FleetNode,
  MembershipFleet,
} from "../../bench/membership/membership_fleet.ts";
import { MembershipDirectory } from "./membership_directory.ts";

type Scenario = {
  fleet: MembershipFleet;
  reader: FleetNode;
  victim: FleetNode;
};

function startFleet(): Scenario {
  const fleet = new MembershipFleet({ seed: 5 });
  const options = { dataCentre: "dc-a", contactsCount: 1 };
  fleet.addNodes(6, { ...options, pool: "plates" });
  fleet.addNodes(2, { ...options, pool: "proofs" });
  fleet.run(15_000);
  const [reader, victim] = fleet.nodes;
  return { fleet, reader: reader as FleetNode, victim: victim as FleetNode };
}

function createDirectory({ reader }: Scenario): MembershipDirectory {
  reader.core.takeChanges();
  return new MembershipDirectory(reader.core);
}

function applyChanges(
  directory: MembershipDirectory,
  { reader }: Scenario,
): void {
  directory.applyChanges(reader.core.takeChanges());
}

test("the same array of endpoints is returned until the pool changes", () => {
  const view = startFleet();
  const directory = createDirectory(view);
  const before = directory.endpoints("plates");
  assert.equal(before.length, 6);
  assert.equal(directory.endpoints("proofs").length, 2);
  view.fleet.run(5_000);
  applyChanges(directory, view);
  assert.equal(directory.endpoints("plates"), before);
  view.fleet.send(view.victim, { kind: "leave" });
  view.fleet.run(500);
  applyChanges(directory, view);
  const states = directory.endpoints("plates").map(({ state }) => state);
  assert.deepEqual(states.filter((state) => state === "draining").length, 1);
  view.fleet.kill(view.victim);
  view.fleet.run(5_000);
  applyChanges(directory, view);
  assert.equal(directory.endpoints("plates").length, 5);
  assert.ok(directory.changedMs("plates", "dc-a") > 15_000);
  assert.equal(directory.changedMs("plates", "dc-b"), -Infinity);
});

// Guards against running a key twice: a daemon that first requests a pool after
// a death must not let the next owner run a key that the dead one may still run.
test("a pool that is first requested after a death still has the dead owner", () => {
  const view = startFleet();
  const { fleet, victim } = view;
  fleet.freeze(victim);
  fleet.runUntil(() => fleet.view(view.reader, victim) === "dead", 20_000);
  fleet.run(2_000);
  const owners = createDirectory(view).eligibleOwners("plates", "dc-a");
  const nowMs = fleet.schedule.nowMs;
  assert.ok(owners.current(nowMs).includes(victim.id));
  assert.equal(owners.current(nowMs + 10_000).includes(victim.id), false);
});

test("an upstream that changes its pool moves to the new one", () => {
  const view = startFleet();
  const { fleet, victim } = view;
  const directory = createDirectory(view);
  directory.endpoints("plates");
  directory.endpoints("proofs");
  fleet.send(victim, { kind: "placed", place: { pool: "proofs" } });
  fleet.run(1_000);
  applyChanges(directory, view);
  assert.equal(directory.endpoints("plates").length, 5);
  const moved = directory.endpoints("proofs")
    .find(({ instanceId }) => instanceId === victim.id);
  assert.ok(moved !== undefined && moved.joinedMs >= 15_000);
});
