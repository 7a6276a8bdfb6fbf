import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type FleetMessage,
  type FleetNode,
  MembershipFleet,
} from "../../bench/membership/membership_fleet.ts";
import { SeededRandom } from "../core/random.ts";

/** Two refused probes, one interval apart, and the flood. */
const CONFIRM_MAX_MS = 3_000;
/**
 * Two missed probes with the timeout of the second one (2.5 s), the suspicion
 * (4 s), and the flood (1 s).
 */
const DEATH_MAX_MS = 2_500 + 4_000 + 1_000;

function startFleet(
  count: number,
  options: { onMessage?: (message: FleetMessage) => void } = {},
): MembershipFleet {
  const fleet = new MembershipFleet({ seed: 7, ...options });
  fleet.addNodes(count, { dataCentre: "dc-a", contactsCount: 2 });
  fleet.run(10_000);
  assert.ok(fleet.allSee(fleet.nodes, fleet.nodes, ["alive"]));
  takeLostIds(fleet);
  return fleet;
}

function nodeAt(fleet: MembershipFleet, index: number): FleetNode {
  return fleet.nodes[index] as FleetNode;
}

function others(fleet: MembershipFleet, node: FleetNode): FleetNode[] {
  return fleet.nodes.filter((other) => other !== node);
}

/**
 * Takes the changes of all nodes since the last call, and returns the ids of the
 * members that any node declared dead or gone.
 */
function takeLostIds(fleet: MembershipFleet): Set<string> {
  const lost = fleet.nodes.flatMap((node) =>
    node.core.takeChanges()
      .filter(({ kind }) => kind === "dead" || kind === "gone")
      .map(({ instanceId }) => instanceId)
  );
  return new Set(lost);
}

for (const count of [50, 200]) {
  test(`all others confirm a killed member gone within 3 s, ${count} members`, () => {
    const fleet = startFleet(count);
    const victim = nodeAt(fleet, 9);
    fleet.kill(victim);
    const rest = others(fleet, victim);
    const elapsedMs = fleet.runUntil(
      () => fleet.allSee(rest, [victim], ["gone"]),
      60_000,
    );
    assert.ok(elapsedMs <= CONFIRM_MAX_MS, `${elapsedMs} ms`);
    assert.deepEqual([...takeLostIds(fleet)], [victim.id]);
  });

  test(`all others declare a frozen member dead within 7.5 s, ${count} members`, () => {
    const fleet = startFleet(count);
    const victim = nodeAt(fleet, 9);
    const rest = others(fleet, victim);
    fleet.freeze(victim);
    const elapsedMs = fleet.runUntil(
      () => fleet.allSee(rest, [victim], ["dead"]),
      60_000,
    );
    assert.ok(elapsedMs <= DEATH_MAX_MS, `${elapsedMs} ms`);
    assert.deepEqual([...takeLostIds(fleet)], [victim.id]);
  });
}

test("a member that resumes after it was declared dead rejoins and restarts key ownership", () => {
  const fleet = startFleet(20);
  const victim = nodeAt(fleet, 3);
  fleet.freeze(victim);
  fleet.run(20_000);
  takeLostIds(fleet);
  fleet.resume(victim);
  const resumedMs = fleet.schedule.nowMs;
  const sinceAckMs = resumedMs - victim.core.peerConnectivity.lastAckMs;
  assert.ok(
    sinceAckMs > 3_000,
    "the last answer is not older than 3 s on resumption",
  );
  fleet.run(5_000);
  assert.ok(fleet.allSee(fleet.nodes, fleet.nodes, ["alive"]));
  assert.ok(victim.core.peerConnectivity.acceptedSinceMs >= resumedMs);
  assert.deepEqual(
    takeLostIds(fleet),
    new Set(),
    "the resumed member declared others dead",
  );
});

test("a member refutes a suspicion after a short pause", () => {
  const fleet = startFleet(20);
  const victim = nodeAt(fleet, 3);
  fleet.freeze(victim);
  fleet.runUntil(
    () => fleet.allSee(others(fleet, victim), [victim], ["suspect"]),
    10_000,
  );
  fleet.resume(victim);
  fleet.run(8_000);
  assert.ok(fleet.allSee(fleet.nodes, fleet.nodes, ["alive"]));
  assert.deepEqual(takeLostIds(fleet), new Set());
});

test("a daemon with a blocked event loop suspects no other member", () => {
  const fleet = startFleet(20);
  const slow = nodeAt(fleet, 3);
  let suspectedCount = 0;
  for (let round = 0; round < 30; round++) {
    fleet.freeze(slow);
    fleet.run(900);
    fleet.resume(slow);
    // Shorter than a round trip: all answers arrive while the loop is blocked.
    fleet.run(0.5);
    suspectedCount += others(fleet, slow)
      .filter((other) => fleet.seenState(slow, other) !== "alive").length;
  }
  assert.equal(suspectedCount, 0);
  const lost = takeLostIds(fleet);
  lost.delete(slow.id);
  assert.deepEqual(lost, new Set());
});

test("an observer that paused does not confirm a refuted suspicion", () => {
  const fleet = startFleet(20);
  const victim = nodeAt(fleet, 3);
  const isConfirming = (node: FleetNode) => {
    const suspicion = node.core.registry.suspicions.get(victim.id);
    return suspicion?.observers.length === 2 &&
      suspicion.observers.includes(node.id);
  };
  fleet.freeze(victim);
  fleet.runUntil(() => fleet.nodes.some(isConfirming), 10_000);
  const observer = fleet.nodes.find(isConfirming) as FleetNode;
  fleet.freeze(observer);
  fleet.resume(victim);
  fleet.run(5_000);
  fleet.resume(observer);
  fleet.run(10_000);
  assert.deepEqual(takeLostIds(fleet), new Set());
  assert.ok(fleet.allSee(fleet.nodes, fleet.nodes, ["alive"]));
});

test("an isolated daemon declares no other member dead", () => {
  const fleet = startFleet(20);
  const isolated = nodeAt(fleet, 3);
  const rest = others(fleet, isolated);
  fleet.isPartitioned = (from, to) => from === isolated || to === isolated;
  const cutMs = fleet.schedule.nowMs;
  const isLost = () => fleet.allSee(rest, [isolated], ["dead"]);
  assert.ok(fleet.runUntil(isLost, 60_000) < 60_000);
  fleet.run(30_000);
  assert.deepEqual(takeLostIds(fleet), new Set([isolated.id]));
  assert.ok(
    isolated.core.peerConnectivity.lastAckMs <= cutMs + 1,
    "the isolated daemon received an answer after the cut, and may run keyed requests",
  );
  fleet.isPartitioned = () => false;
  const healedMs = fleet.schedule.nowMs;
  fleet.run(10_000);
  assert.ok(isolated.core.peerConnectivity.acceptedSinceMs >= healedMs);
  assert.ok(isolated.core.peerConnectivity.lastAckMs > healedMs);
  assert.ok(fleet.allSee(fleet.nodes, fleet.nodes, ["alive"]));
});

test("a one-way link failure causes no death and few floods", () => {
  const messages: FleetMessage[] = [];
  const fleet = startFleet(20, {
    onMessage: (message) => messages.push(message),
  });
  const a = nodeAt(fleet, 3);
  const b = fleet.nodes.find((node) =>
    a.core.neighbourIds.includes(node.id)
  ) as FleetNode;
  messages.length = 0;
  fleet.isPartitioned = (from, to) => from === a && to === b;
  fleet.run(120_000);
  assert.deepEqual(takeLostIds(fleet), new Set());
  const updates = messages.filter(({ kind }) => kind === "push").length;
  // Without back-off, each side would suspect the other every 2 s: 120 floods
  // of 140 messages.
  assert.ok(updates <= 30 * 140, `${updates} messages`);
});

test("the halves of a partitioned data centre declare each other dead and merge again", () => {
  const fleet = startFleet(40);
  const isInFirstHalf = (node: FleetNode) => fleet.nodes.indexOf(node) < 20;
  const firstHalf = fleet.nodes.filter(isInFirstHalf);
  const secondHalf = fleet.nodes.filter((node) => !isInFirstHalf(node));
  fleet.isPartitioned = (from, to) => isInFirstHalf(from) !== isInFirstHalf(to);
  const lost = () =>
    fleet.allSee(firstHalf, secondHalf, ["dead"]) &&
    fleet.allSee(secondHalf, firstHalf, ["dead"]);
  assert.ok(fleet.runUntil(lost, 60_000) < 60_000);
  assert.ok(
    fleet.allSee(firstHalf, firstHalf, ["alive"]),
    "the first half lost members of its own",
  );
  assert.ok(
    fleet.allSee(secondHalf, secondHalf, ["alive"]),
    "the second half lost members of its own",
  );
  fleet.run(30_000);
  takeLostIds(fleet);
  fleet.isPartitioned = () => false;
  const isMerged = () => fleet.allSee(fleet.nodes, fleet.nodes, ["alive"]);
  assert.ok(fleet.runUntil(isMerged, 60_000) < 60_000);
  assert.deepEqual(
    takeLostIds(fleet),
    new Set(),
    "members were declared dead after the partition",
  );
});

test("a member that restarts at its address is found without the platform", () => {
  const fleet = startFleet(20);
  const victim = nodeAt(fleet, 9);
  const before = victim.core.identity.incarnationEpochMs;
  fleet.kill(victim);
  fleet.run(60_000);
  fleet.restart(victim, []);
  const isBack = () => fleet.allSee(fleet.nodes, fleet.nodes, ["alive"]);
  assert.ok(fleet.runUntil(isBack, 30_000) < 30_000);
  assert.ok(victim.core.identity.incarnationEpochMs > before);
});

test("a daemon whose clock was set back raises its incarnation", () => {
  const fleet = startFleet(5);
  const victim = nodeAt(fleet, 4);
  const future = victim.core.identity.incarnationEpochMs + 3_600_000;
  fleet.send(victim, { kind: "incarnationKnown", incarnationEpochMs: future });
  fleet.run(1_000);
  fleet.kill(victim);
  fleet.run(5_000);
  fleet.restart(victim, [nodeAt(fleet, 0).address]);
  fleet.run(5_000);
  assert.ok(fleet.allSee(fleet.nodes, [victim], ["alive"]));
  assert.ok(victim.core.identity.incarnationEpochMs > future);
});

test("two daemons with one instance id raise incarnations at a bounded rate", () => {
  const messages: FleetMessage[] = [];
  const fleet = startFleet(20, {
    onMessage: (message) => messages.push(message),
  });
  const [victim, peer] = [nodeAt(fleet, 4), nodeAt(fleet, 5)];
  messages.length = 0;
  const endMs = fleet.schedule.nowMs + 60_000;
  while (fleet.schedule.nowMs < endMs) {
    // The other daemon raises each incarnation that it receives. Its updates
    // arrive through a peer.
    const { ownUpdate } = victim.core;
    const incarnationEpochMs = ownUpdate.incarnationEpochMs + 1;
    const updates = [{ ...ownUpdate, incarnationEpochMs, sequence: 0 }];
    const request = { updates, isRepair: false };
    fleet.send(peer, { kind: "pushed", request, fromId: "duplicate" });
    fleet.run(10);
  }
  const raises = victim.core.incarnationRaisesCount;
  assert.ok(raises > 1 && raises <= 7, `${raises} raises in 60 s`);
});

test("all members of a data centre that restart together rejoin through contacts alone", () => {
  const fleet = startFleet(50);
  fleet.nodes.forEach((node) => fleet.kill(node));
  fleet.run(5_000);
  const contacts = fleet.nodes.slice(0, 2).map((node) => node.address);
  fleet.nodes.forEach((node) => fleet.restart(node, contacts));
  const isBack = () => fleet.allSee(fleet.nodes, fleet.nodes, ["alive"]);
  assert.ok(fleet.runUntil(isBack, 30_000) < 30_000);
});

test("all others see within 3 s that a member is leaving, and later that it has left", () => {
  const fleet = startFleet(50);
  const leaver = nodeAt(fleet, 9);
  fleet.send(leaver, { kind: "leave" });
  const rest = others(fleet, leaver);
  const isKnown = () => fleet.allSee(rest, [leaver], ["leaving"]);
  assert.ok(fleet.runUntil(isKnown, 10_000) <= 3_000);
  fleet.send(leaver, { kind: "left" });
  fleet.kill(leaver);
  fleet.run(3_000);
  assert.ok(fleet.allSee(rest, [leaver], ["left"]));
});

test("the view of a member that missed a flood is repaired when digests differ", () => {
  const fleet = startFleet(30);
  const leaver = nodeAt(fleet, 9);
  const unreached = nodeAt(fleet, 20);
  fleet.isPartitioned = (_from, to) => to === unreached;
  fleet.send(leaver, { kind: "leave" });
  fleet.run(300);
  fleet.isPartitioned = () => false;
  assert.equal(fleet.seenState(unreached, leaver), "alive");
  fleet.run(4_000);
  assert.equal(fleet.seenState(unreached, leaver), "leaving");
});

test("random message loss causes no death, and the views converge", () => {
  const fleet = startFleet(30);
  const random = new SeededRandom(11);
  fleet.isPartitioned = () => random.nextFloat() < 0.02;
  fleet.run(120_000);
  assert.deepEqual(takeLostIds(fleet), new Set());
  fleet.isPartitioned = () => false;
  fleet.run(10_000);
  assert.ok(fleet.allSee(fleet.nodes, fleet.nodes, ["alive"]));
});

test("data centres receive each other's updates, and their views converge after a partition", () => {
  const fleet = new MembershipFleet({ seed: 7 });
  for (const dataCentre of ["dc-a", "dc-b", "dc-c"]) {
    fleet.addNodes(10, { dataCentre, contactsCount: 1 });
  }
  const agree = () => fleet.allSee(fleet.nodes, fleet.nodes, ["alive"]);
  assert.ok(fleet.runUntil(agree, 30_000) < 30_000);
  fleet.isPartitioned = (from, to) => from.dataCentre !== to.dataCentre;
  fleet.run(30_000);
  assert.ok(agree(), "a partition between data centres lost members");
  const victim = nodeAt(fleet, 15);
  fleet.kill(victim);
  fleet.run(10_000);
  assert.equal(fleet.seenState(nodeAt(fleet, 0), victim), "alive");
  fleet.isPartitioned = () => false;
  const isKnown = () => fleet.allSee(others(fleet, victim), [victim], ["gone"]);
  assert.ok(fleet.runUntil(isKnown, 30_000) < 30_000);
});

test("a flood sends at most one message per neighbour of each member", () => {
  const messages: FleetMessage[] = [];
  const fleet = startFleet(100, {
    onMessage: (message) => messages.push(message),
  });
  messages.length = 0;
  fleet.send(nodeAt(fleet, 9), { kind: "leave" });
  fleet.run(1_000);
  const pushes = messages.filter(({ kind }) => kind === "push").length;
  const edges = fleet.nodes
    .map((node) => node.core.neighbourIds.length)
    .reduce((sum, count) => sum + count, 0);
  assert.ok(pushes <= edges, `${pushes} messages over ${edges} edges`);
});
