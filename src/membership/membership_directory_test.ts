import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type FleetNode,
  MembershipFleet,
} from "../../bench/membership/membership_fleet.ts";
import { MembershipDirectory } from "./membership_directory.ts";

type Scenario = {
  fleet: MembershipFleet;
  /** Node whose directory is tested. */
  local: FleetNode;
  subject: FleetNode;
};

function startFleet(): Scenario {
  const fleet = new MembershipFleet({ seed: 5 });
  const options = { dataCentre: "dc-a", contactsCount: 1 };
  fleet.addNodes(6, { ...options, pool: "plates" });
  fleet.addNodes(2, { ...options, pool: "proofs" });
  fleet.run(15_000);
  const [local, subject] = fleet.nodes;
  return { fleet, local: local as FleetNode, subject: subject as FleetNode };
}

function createDirectory({ local }: Scenario): MembershipDirectory {
  local.core.takeChanges();
  return new MembershipDirectory(local.core);
}

function applyChanges(
  directory: MembershipDirectory,
  { local }: Scenario,
): void {
  directory.applyChanges(local.core.takeChanges());
}

test("the same array of endpoints is returned until the pool changes", () => {
  const scenario = startFleet();
  const directory = createDirectory(scenario);
  const before = directory.endpoints("plates");
  assert.equal(before.length, 6);
  assert.equal(directory.endpoints("proofs").length, 2);
  scenario.fleet.run(5_000);
  applyChanges(directory, scenario);
  assert.equal(directory.endpoints("plates"), before);
  scenario.fleet.send(scenario.subject, { kind: "leave" });
  scenario.fleet.run(500);
  applyChanges(directory, scenario);
  const states = directory.endpoints("plates").map(({ state }) => state);
  assert.deepEqual(states.filter((state) => state === "draining").length, 1);
  scenario.fleet.kill(scenario.subject);
  scenario.fleet.run(5_000);
  applyChanges(directory, scenario);
  assert.equal(directory.endpoints("plates").length, 5);
  assert.ok(directory.changedMs("plates", "dc-a") > 15_000);
  assert.equal(directory.changedMs("plates", "dc-b"), -Infinity);
});

// Guards against running a keyed request twice: a daemon that first requests a
// pool after a death must not let the next owner run a request that the dead
// owner may still run.
test("a member that died before its pool was first requested is still an eligible owner", () => {
  const scenario = startFleet();
  const { fleet, subject } = scenario;
  fleet.freeze(subject);
  fleet.runUntil(
    () => fleet.seenState(scenario.local, subject) === "dead",
    20_000,
  );
  fleet.run(2_000);
  const owners = createDirectory(scenario).eligibleOwners("plates", "dc-a");
  const nowMs = fleet.schedule.nowMs;
  assert.ok(owners.current(nowMs).includes(subject.id));
  assert.equal(owners.current(nowMs + 10_000).includes(subject.id), false);
});

test("an upstream that changes its pool is an endpoint of the new pool only", () => {
  const scenario = startFleet();
  const { fleet, subject } = scenario;
  const directory = createDirectory(scenario);
  directory.endpoints("plates");
  directory.endpoints("proofs");
  fleet.send(subject, { kind: "placed", place: { pool: "proofs" } });
  fleet.run(1_000);
  applyChanges(directory, scenario);
  assert.equal(directory.endpoints("plates").length, 5);
  const moved = directory.endpoints("proofs")
    .find(({ instanceId }) => instanceId === subject.id);
  assert.ok(moved !== undefined && moved.joinedMs >= 15_000);
});
