import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigHarness, sampleTables } from "../testing/config_harness.ts";

test("an accepted pair is applied by the acceptor's own daemon and reported in its status", async () => {
  const harness = new ConfigHarness();
  const { acceptorLease, readerLease, store } = harness.addDaemon("a");
  harness.writeTables(sampleTables());
  readerLease.set(true);
  acceptorLease.set(true);
  await harness.settle();
  assert.equal(harness.accepted().head.generation, 1);
  assert.equal(store.current()?.generation, 1);
  harness.writeTable("routes", sampleTables(3).routes);
  await harness.settle();
  assert.equal(store.current()?.generation, 2);
  assert.equal(harness.accepted().step.delta.puts.length, 1);
  const status = harness.store.read({ kind: "config", name: "status" })?.value;
  assert.deepEqual(status, {
    versions: { routes: 2, pools: 1 },
    result: "accepted",
    generation: 2,
    mistakes: [],
  });
  assert.deepEqual(harness.errors, []);
});

test("an invalid pair is reported with its mistakes and changes nothing", async () => {
  const harness = new ConfigHarness();
  const { acceptorLease } = harness.addDaemon("a");
  harness.writeTables(sampleTables());
  acceptorLease.set(true);
  await harness.settle();
  harness.writeTable("pools", { pools: {} });
  await harness.settle();
  assert.equal(harness.accepted().head.generation, 1);
  const status = harness.store.read({ kind: "config", name: "status" })
    ?.value as {
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

test("two concurrent acceptors publish each generation once", async () => {
  const harness = new ConfigHarness();
  const daemons = [harness.addDaemon("a"), harness.addDaemon("b")];
  const generations: number[] = [];
  harness.store.watch("config", ({ name }) => {
    if (name === "accepted") {
      generations.push(harness.accepted().head.generation);
    }
  });
  harness.writeTables(sampleTables());
  daemons.forEach(({ acceptorLease }) => acceptorLease.set(true));
  for (let count = 3; count < 8; count++) {
    harness.writeTable("routes", sampleTables(count).routes);
    await harness.settle();
  }
  assert.deepEqual(generations, generations.map((_, index) => index + 1));
  assert.deepEqual(harness.accepted().versions, { routes: 6, pools: 1 });
  const reader = harness.addDaemon("c");
  reader.readerLease.set(true);
  await harness.settle();
  assert.equal(reader.store.current()?.digest, harness.accepted().head.digest);
});

test("a holder whose lease lapses while it writes the snapshot does not publish", async () => {
  const harness = new ConfigHarness();
  const { acceptorLease, platform } = harness.addDaemon("a");
  harness.writeTables(sampleTables());
  const put = platform.put.bind(platform);
  platform.put = (object, condition) => {
    acceptorLease.held = false;
    return put(object, condition);
  };
  acceptorLease.set(true);
  await harness.settle();
  assert.equal(harness.accepted(), undefined);
});

test("a former holder that resumes in the middle of an acceptance cannot revert an edit", async () => {
  const harness = new ConfigHarness();
  const former = harness.addDaemon("old");
  const present = harness.addDaemon("new");
  harness.writeTables(sampleTables());
  former.acceptorLease.set(true);
  await harness.settle();
  // The former holder is paused in the middle of an acceptance: its writes, the
  // one of the accepted object included, are sent only after the new holder has
  // accepted a later edit.
  const put = former.platform.put.bind(former.platform);
  let resume = () => {};
  const paused = new Promise<void>((resolve) => resume = resolve);
  former.platform.put = async (object, condition) => {
    await paused;
    return put(object, condition);
  };
  harness.writeTable("routes", sampleTables(3).routes);
  await harness.settle();
  present.acceptorLease.set(true);
  harness.writeTable("routes", sampleTables(4).routes);
  await harness.settle();
  const accepted = structuredClone(harness.accepted());
  assert.equal(accepted.acceptedBy, "new");
  resume();
  await harness.settle();
  assert.deepEqual(harness.accepted(), accepted);
});

for (const fault of ["loseWriteAnswersCount", "dropWritesCount"] as const) {
  test(`a pair is accepted although two writes fail (${fault})`, async () => {
    const harness = new ConfigHarness();
    const { acceptorLease, platform, readerLease, store } = harness.addDaemon(
      "a",
    );
    harness.writeTables(sampleTables());
    platform.faults[fault] = 2;
    readerLease.set(true);
    acceptorLease.set(true);
    await harness.advance(5_000, 1_000);
    assert.deepEqual(harness.accepted().versions, { routes: 1, pools: 1 });
    assert.equal(store.current()?.generation, 1);
  });
}
