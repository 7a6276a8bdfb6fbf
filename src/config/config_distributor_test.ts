import assert from "node:assert/strict";
import { test } from "node:test";
import { COMPARE_METHOD, FLOOD_METHOD } from "./peer_methods.ts";
import { ConfigHarness, sampleTables } from "../testing/config_harness.ts";

/** Daemons a, b and c; a is acceptor and reader; generation 1 is in force. */
async function startThree() {
  const bed = new ConfigHarness();
  const [a, b, c] = ["a", "b", "c"].map((id) => bed.addDaemon(id)) as [
    ReturnType<ConfigHarness["addDaemon"]>,
    ReturnType<ConfigHarness["addDaemon"]>,
    ReturnType<ConfigHarness["addDaemon"]>,
  ];
  bed.network.linkAll();
  bed.writeTables(sampleTables());
  a.readerLease.set(true);
  a.acceptorLease.set(true);
  await bed.advance(3_000);
  return { bed, a, b, c, all: [a, b, c] };
}

function generations(
  daemons: { store: { head(): { generation: number } | undefined } }[],
) {
  return daemons.map(({ store }) => store.head()?.generation);
}

test("newcomers take the configuration of their neighbours", async () => {
  const { bed, all } = await startThree();
  assert.deepEqual(generations(all), [1, 1, 1]);
  assert.deepEqual(all.map(({ distributor }) => distributor.state), [
    "inForce",
    "inForce",
    "inForce",
  ]);
  assert.deepEqual(bed.errors, []);
});

test("a change is flooded without waiting for a comparison", async () => {
  const { bed, b, all } = await startThree();
  bed.writeTable("routes", sampleTables(3).routes);
  await bed.settle();
  assert.deepEqual(generations(all), [2, 2, 2]);
  assert.equal(b.store.status().applied.at(-1)?.source, "flood");
  assert.equal(b.store.current()?.matcher.match("GET", "/r2", "")?.name, "r2");
});

test("floods that are lost are repaired by the comparisons, by steps", async () => {
  const { bed, all } = await startThree();
  bed.network.isLost = ({ method }) => method === "config.flood";
  for (let count = 3; count < 6; count++) {
    bed.writeTable("routes", sampleTables(count).routes);
    await bed.settle();
  }
  assert.deepEqual(generations(all), [4, 1, 1]);
  const sentCount = bed.network.sent.length;
  await bed.advance(6_000);
  assert.deepEqual(generations(all), [4, 4, 4]);
  const repairs = bed.network.sent.slice(sentCount);
  assert.ok(repairs.every(({ method }) => method !== "config.chunk"));
});

test("a delta that does not match its digest is refused and fetched in full", async () => {
  const { bed, b, c } = await startThree();
  const base = b.store.head();
  assert.ok(base);
  bed.writeTable("routes", sampleTables(3).routes);
  bed.network.isLost = ({ to }) => to === "c";
  await bed.settle();
  bed.network.isLost = () => false;
  const step = structuredClone(b.store.stepsFrom(base)[0]);
  assert.ok(step);
  step.delta.puts = [];
  assert.equal(c.store.applyStep(step, { source: "flood" }), false);
  assert.equal(c.store.head()?.generation, 1);
  const call = { method: FLOOD_METHOD, body: step };
  await b.peer.request(c.peer.peer.address, call);
  await bed.settle();
  assert.deepEqual(c.store.head(), b.store.head());
  assert.equal(c.store.status().applied.at(-1)?.source, "peer");
});

test("a stale peer gets the newer generation and never imposes its own", async () => {
  const { bed, a, c, all } = await startThree();
  bed.network.isLost = ({ from, to }) => from === "c" || to === "c";
  for (let count = 3; count < 80; count++) {
    bed.writeTable("routes", sampleTables(count).routes);
    await bed.settle();
  }
  assert.equal(c.store.head()?.generation, 1);
  bed.network.isLost = () => false;
  await bed.advance(4_000);
  assert.deepEqual(c.store.head(), a.store.head());
  assert.equal(generations(all)[0], 78);
  const chunks = bed.network.sent.filter(({ method }) =>
    method === "config.chunk"
  );
  assert.ok(chunks.length > 0, "too far behind for steps");
  assert.deepEqual(bed.errors, []);
});

test("a newcomer during a platform outage is ready from its contacts only", async () => {
  const { bed, all } = await startThree();
  const newcomer = bed.addDaemon("d", [2, 3]);
  const lonely = bed.addDaemon("e");
  [...all, newcomer, lonely].forEach(({ platform }) =>
    platform.faults.down = true
  );
  await bed.advance(4_000);
  assert.equal(newcomer.store.current()?.generation, 1);
  assert.equal(lonely.store.current(), undefined);
  assert.equal(lonely.distributor.state, "asking");
  lonely.platform.faults.down = false;
  await bed.advance(4_000);
  assert.equal(lonely.store.current()?.generation, 1);
  assert.equal(lonely.store.status().applied[0]?.source, "platform");
});

test("a newcomer takes the highest generation of the answers", async () => {
  const { bed, b, c } = await startThree();
  bed.network.isLost = ({ from, to }) => from === "c" || to === "c";
  bed.writeTable("routes", sampleTables(3).routes);
  await bed.settle();
  assert.deepEqual(generations([b, c]), [2, 1]);
  bed.network.isLost = ({ from, to }) =>
    from !== "d" && to !== "d" && [from, to].includes("c");
  const newcomer = bed.addDaemon("d", [3, 2]);
  await bed.advance(1_000);
  assert.equal(newcomer.store.head()?.generation, 2);
});

test("a peer with another content of the same generation is reported", async () => {
  const { bed, b, c } = await startThree();
  const head = { generation: 1, digest: "0".repeat(64) };
  await b.peer.request(c.peer.peer.address, {
    method: COMPARE_METHOD,
    body: { head },
  });
  assert.match(
    String(bed.errors[0]),
    /"b" has another content of generation 1/,
  );
  assert.notEqual(c.store.head()?.digest, head.digest);
});

test("a daemon without neighbours follows its contacts, or else the platform", async () => {
  const bed = new ConfigHarness();
  const source = bed.addDaemon("a");
  const withContact = bed.addDaemon("b", [1]);
  const alone = bed.addDaemon("c");
  bed.writeTables(sampleTables());
  source.readerLease.set(true);
  source.acceptorLease.set(true);
  await bed.advance(3_000);
  bed.writeTable("routes", sampleTables(3).routes);
  withContact.platform.faults.down = true;
  await bed.advance(3_000);
  assert.deepEqual(generations([withContact, alone]), [2, 2]);
});

test("a change that is too large for one message travels by full copies", async () => {
  const { bed, b, all } = await startThree();
  bed.writeTable("routes", sampleTables(2_000).routes);
  await bed.settle();
  assert.equal(bed.accepted().step, undefined);
  await bed.advance(3_000);
  assert.deepEqual(generations(all), [2, 2, 2]);
  assert.equal(b.store.status().applied.at(-1)?.source, "peer");
  const largest = Math.max(
    ...bed.network.sent.map(({ sizeBytes }) => sizeBytes),
  );
  assert.ok(largest < 262_144, `largest message ${largest} bytes`);
});

test("a data centre that is cut off from the platform follows a remote reader", async () => {
  const { bed, a } = await startThree();
  const [reader, other] = [bed.addDaemon("far-1"), bed.addDaemon("far-2")];
  [reader, other].forEach(({ platform }) => platform.faults.down = true);
  reader.peer.linked = [a.peer.peer];
  other.peer.linked = [a.peer.peer];
  await bed.advance(2_000);
  reader.peer.linked = [other.peer.peer];
  other.peer.linked = [reader.peer.peer];
  reader.peer.remote = [a.peer.peer];
  bed.writeTable("routes", sampleTables(3).routes);
  await bed.advance(2_500);
  assert.deepEqual(generations([reader, other]), [2, 2]);
});
