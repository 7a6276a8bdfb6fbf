import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigHarness, sampleTables } from "../testing/config_harness.ts";

test("an accepted pair reaches the acceptor's own daemon and its status", async () => {
  const bed = new ConfigHarness();
  const { acceptorLease, readerLease, store } = bed.addDaemon("a");
  bed.writeTables(sampleTables());
  readerLease.set(true);
  acceptorLease.set(true);
  await bed.settle();
  assert.equal(bed.accepted().head.generation, 1);
  assert.equal(store.current()?.generation, 1);
  bed.writeTable("routes", sampleTables(3).routes);
  await bed.settle();
  assert.equal(store.current()?.generation, 2);
  assert.equal(bed.accepted().step.delta.puts.length, 1);
  const status = bed.store.read({ kind: "config", name: "status" })?.value;
  assert.deepEqual(status, {
    versions: { routes: 2, pools: 1 },
    result: "accepted",
    generation: 2,
    mistakes: [],
  });
  assert.deepEqual(bed.errors, []);
});

test("an invalid pair is reported with its mistakes and changes nothing", async () => {
  const bed = new ConfigHarness();
  const { acceptorLease } = bed.addDaemon("a");
  bed.writeTables(sampleTables());
  acceptorLease.set(true);
  await bed.settle();
  bed.writeTable("pools", { pools: {} });
  await bed.settle();
  assert.equal(bed.accepted().head.generation, 1);
  const status = bed.store.read({ kind: "config", name: "status" })?.value as {
    result: string;
    mistakes: unknown[];
  };
  assert.equal(status.result, "invalid");
  assert.deepEqual(status.mistakes[0], {
    table: "routes",
    entry: "routes.r0",
    field: "pool",
    reason: 'Pool "logbook" does not exist',
  });
});

test("of two acceptors at once one write wins and both agree", async () => {
  const bed = new ConfigHarness();
  const daemons = [bed.addDaemon("a"), bed.addDaemon("b")];
  const generations: number[] = [];
  bed.store.watch("config", ({ name }) => {
    if (name === "accepted") {
      generations.push(bed.accepted().head.generation);
    }
  });
  bed.writeTables(sampleTables());
  daemons.forEach(({ acceptorLease }) => acceptorLease.set(true));
  for (let count = 3; count < 8; count++) {
    bed.writeTable("routes", sampleTables(count).routes);
    await bed.settle();
  }
  assert.deepEqual(generations, generations.map((_, index) => index + 1));
  assert.deepEqual(bed.accepted().versions, { routes: 6, pools: 1 });
  const reader = bed.addDaemon("c");
  reader.readerLease.set(true);
  await bed.settle();
  assert.equal(reader.store.current()?.digest, bed.accepted().head.digest);
});

test("a holder whose lease lapsed between its reads and its write does not publish", async () => {
  const bed = new ConfigHarness();
  const { acceptorLease, platform } = bed.addDaemon("a");
  bed.writeTables(sampleTables());
  const put = platform.put.bind(platform);
  platform.put = (object, condition) => {
    acceptorLease.held = false;
    return put(object, condition);
  };
  acceptorLease.set(true);
  await bed.settle();
  assert.equal(bed.accepted(), undefined);
});

test("a resumed old holder that still publishes cannot revert an edit", async () => {
  const bed = new ConfigHarness();
  const old = bed.addDaemon("old");
  const present = bed.addDaemon("new");
  bed.writeTables(sampleTables());
  old.acceptorLease.set(true);
  await bed.settle();
  // The old holder is paused in the middle of an acceptance: its write of the
  // accepted object is sent only after the new holder accepted a later edit.
  const put = old.platform.put.bind(old.platform);
  let resume = () => {};
  const paused = new Promise<void>((resolve) => resume = resolve);
  old.platform.put = async (object, condition) => {
    await paused;
    return put(object, condition);
  };
  bed.writeTable("routes", sampleTables(3).routes);
  await bed.settle();
  present.acceptorLease.set(true);
  bed.writeTable("routes", sampleTables(4).routes);
  await bed.settle();
  const accepted = structuredClone(bed.accepted());
  assert.equal(accepted.acceptedBy, "new");
  resume();
  await bed.settle();
  assert.deepEqual(bed.accepted(), accepted);
});

for (const fault of ["loseWriteAnswersCount", "dropWritesCount"] as const) {
  test(`acceptance goes on after writes with ${fault}`, async () => {
    const bed = new ConfigHarness();
    const { acceptorLease, platform, readerLease, store } = bed.addDaemon("a");
    bed.writeTables(sampleTables());
    platform.faults[fault] = 2;
    readerLease.set(true);
    acceptorLease.set(true);
    await bed.advance(5_000, 1_000);
    assert.deepEqual(bed.accepted().versions, { routes: 1, pools: 1 });
    assert.equal(store.current()?.generation, 1);
  });
}
