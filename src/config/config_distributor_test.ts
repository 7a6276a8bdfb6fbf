import assert from "node:assert/strict";
import { test } from "node:test";
import { COMPARE_METHOD, FLOOD_METHOD } from "./config_methods.ts";
import { ConfigHarness, sampleTables } from "../testing/config_harness.ts";

/** Daemons a, b and c; a is acceptor and reader; generation 1 is in force. */
async function startThreeDaemons() {
  const harness = new ConfigHarness();
  const [a, b, c] = ["a", "b", "c"].map((id) => harness.addDaemon(id)) as [
    ReturnType<ConfigHarness["addDaemon"]>,
    ReturnType<ConfigHarness["addDaemon"]>,
    ReturnType<ConfigHarness["addDaemon"]>,
  ];
  harness.network.linkAll();
  harness.writeTables(sampleTables());
  a.readerLease.set(true);
  a.acceptorLease.set(true);
  await harness.advance(3_000);
  return { harness, a, b, c, all: [a, b, c] };
}

function generations(
  daemons: { store: { head(): { generation: number } | undefined } }[],
) {
  return daemons.map(({ store }) => store.head()?.generation);
}

test("the first accepted configuration is in force in all daemons", async () => {
  const { harness, all } = await startThreeDaemons();
  assert.deepEqual(generations(all), [1, 1, 1]);
  assert.deepEqual(all.map(({ distributor }) => distributor.state), [
    "inForce",
    "inForce",
    "inForce",
  ]);
  assert.deepEqual(harness.errors, []);
});

test("a change is flooded without waiting for a comparison", async () => {
  const { harness, b, all } = await startThreeDaemons();
  harness.writeTable("routes", sampleTables(3).routes);
  await harness.settle();
  assert.deepEqual(generations(all), [2, 2, 2]);
  assert.equal(b.store.status().applied.at(-1)?.source, "flood");
  assert.equal(b.store.current()?.matcher.match("GET", "/r2", "")?.name, "r2");
});

test("lost floods are repaired by comparisons, with steps instead of full copies", async () => {
  const { harness, all } = await startThreeDaemons();
  harness.network.isLost = ({ method }) => method === "config.flood";
  for (let count = 3; count < 6; count++) {
    harness.writeTable("routes", sampleTables(count).routes);
    await harness.settle();
  }
  assert.deepEqual(generations(all), [4, 1, 1]);
  const sentCount = harness.network.sent.length;
  await harness.advance(6_000);
  assert.deepEqual(generations(all), [4, 4, 4]);
  const repairs = harness.network.sent.slice(sentCount);
  assert.ok(repairs.every(({ method }) => method !== "config.chunk"));
});

test("a delta that does not match its digest is refused, and the generation is fetched from a peer", async () => {
  const { harness, b, c } = await startThreeDaemons();
  const base = b.store.head();
  assert.ok(base);
  harness.writeTable("routes", sampleTables(3).routes);
  harness.network.isLost = ({ to }) => to === "c";
  await harness.settle();
  harness.network.isLost = () => false;
  const step = structuredClone(b.store.stepsFrom(base)[0]);
  assert.ok(step);
  step.delta.puts = [];
  assert.equal(c.store.applyStep(step, { source: "flood" }), false);
  assert.equal(c.store.head()?.generation, 1);
  const call = { method: FLOOD_METHOD, body: step };
  await b.peer.request(c.peer.peer.address, call);
  await harness.settle();
  assert.deepEqual(c.store.head(), b.store.head());
  assert.equal(c.store.status().applied.at(-1)?.source, "peer");
});

test("a peer that is too far behind for steps gets a full copy, and the newest generation stays in force elsewhere", async () => {
  const { harness, a, c, all } = await startThreeDaemons();
  harness.network.isLost = ({ from, to }) => from === "c" || to === "c";
  for (let count = 3; count < 80; count++) {
    harness.writeTable("routes", sampleTables(count).routes);
    await harness.settle();
  }
  assert.equal(c.store.head()?.generation, 1);
  harness.network.isLost = () => false;
  await harness.advance(4_000);
  assert.deepEqual(c.store.head(), a.store.head());
  assert.equal(generations(all)[0], 78);
  const chunks = harness.network.sent.filter(({ method }) =>
    method === "config.chunk"
  );
  assert.ok(chunks.length > 0, "too far behind for steps");
  assert.deepEqual(harness.errors, []);
});

test("during a platform outage a new daemon needs a contact to become ready; without one it becomes ready after the outage", async () => {
  const { harness, all } = await startThreeDaemons();
  const withContacts = harness.addDaemon("d", [2, 3]);
  const isolated = harness.addDaemon("e");
  [...all, withContacts, isolated].forEach(({ platform }) =>
    platform.faults.down = true
  );
  await harness.advance(4_000);
  assert.equal(withContacts.store.current()?.generation, 1);
  assert.equal(isolated.store.current(), undefined);
  assert.equal(isolated.distributor.state, "asking");
  isolated.platform.faults.down = false;
  await harness.advance(4_000);
  assert.equal(isolated.store.current()?.generation, 1);
  assert.equal(isolated.store.status().applied[0]?.source, "platform");
});

test("a new daemon takes the highest generation among the answers", async () => {
  const { harness, b, c } = await startThreeDaemons();
  harness.network.isLost = ({ from, to }) => from === "c" || to === "c";
  harness.writeTable("routes", sampleTables(3).routes);
  await harness.settle();
  assert.deepEqual(generations([b, c]), [2, 1]);
  harness.network.isLost = ({ from, to }) =>
    from !== "d" && to !== "d" && [from, to].includes("c");
  const added = harness.addDaemon("d", [3, 2]);
  await harness.advance(1_000);
  assert.equal(added.store.head()?.generation, 2);
});

test("a peer with different content of the same generation is reported, and its digest is not adopted", async () => {
  const { harness, b, c } = await startThreeDaemons();
  const head = { generation: 1, digest: "0".repeat(64) };
  await b.peer.request(c.peer.peer.address, {
    method: COMPARE_METHOD,
    body: { head },
  });
  assert.match(
    String(harness.errors[0]),
    /"b" has another content of generation 1/,
  );
  assert.notEqual(c.store.head()?.digest, head.digest);
});

test("a daemon without neighbours gets updates from its contacts, or else from the platform", async () => {
  const harness = new ConfigHarness();
  const source = harness.addDaemon("a");
  const withContact = harness.addDaemon("b", [1]);
  const alone = harness.addDaemon("c");
  harness.writeTables(sampleTables());
  source.readerLease.set(true);
  source.acceptorLease.set(true);
  await harness.advance(3_000);
  harness.writeTable("routes", sampleTables(3).routes);
  withContact.platform.faults.down = true;
  await harness.advance(3_000);
  assert.deepEqual(generations([withContact, alone]), [2, 2]);
});

test("a change that is too large for one message is distributed as full copies", async () => {
  const { harness, b, all } = await startThreeDaemons();
  harness.writeTable("routes", sampleTables(2_000).routes);
  await harness.settle();
  assert.equal(harness.accepted().step, undefined);
  await harness.advance(3_000);
  assert.deepEqual(generations(all), [2, 2, 2]);
  assert.equal(b.store.status().applied.at(-1)?.source, "peer");
  const largest = Math.max(
    ...harness.network.sent.map(({ sizeBytes }) => sizeBytes),
  );
  assert.ok(largest < 262_144, `largest message ${largest} bytes`);
});

test("a data centre that is cut off from the platform gets updates from a remote reader", async () => {
  const { harness, a } = await startThreeDaemons();
  const [reader, other] = [
    harness.addDaemon("far-1"),
    harness.addDaemon("far-2"),
  ];
  [reader, other].forEach(({ platform }) => platform.faults.down = true);
  reader.peer.linked = [a.peer.peer];
  other.peer.linked = [a.peer.peer];
  await harness.advance(2_000);
  reader.peer.linked = [other.peer.peer];
  other.peer.linked = [reader.peer.peer];
  reader.peer.remote = [a.peer.peer];
  harness.writeTable("routes", sampleTables(3).routes);
  await harness.advance(2_500);
  assert.deepEqual(generations([reader, other]), [2, 2]);
});
