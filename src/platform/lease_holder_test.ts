import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { ManualClock } from "../core/clock.ts";
import { EventLoop } from "../core/event_loop.ts";
import { EventSource } from "../core/event_source.ts";
import { SeededRandom } from "../core/random.ts";
import { MemoryPlatformClient } from "../../stand_ins/platform_memory_client.ts";
import { PlatformStore } from "../../stand_ins/platform_store.ts";
import { isAcceptorCandidate, isReaderCandidate } from "./lease_candidacy.ts";
import { LeaseHolder } from "./lease_holder.ts";

const LEASE = "config-acceptor";

function startCandidate(
  instanceId: string,
  store: PlatformStore,
  isCandidate: () => boolean = () => true,
) {
  const platform = new MemoryPlatformClient(store);
  const clock = new ManualClock();
  const ticks = new EventSource<true>();
  const lease = new LeaseHolder({
    leaseName: LEASE,
    holder: { instanceId, incarnationEpochMs: 1 },
    platform,
    clock,
    random: new SeededRandom(7),
    ticks: ticks.stream,
    isCandidate,
  });
  const changes: boolean[] = [];
  lease.changes.observe((held) => changes.push(held));
  const loop = new EventLoop((_name, error) => assert.fail(String(error)));
  loop.register(lease);
  loop.start();
  const tick = async (durationMs = 0) => {
    clock.advance(durationMs);
    ticks.emit(true);
    await nextTurn();
    await nextTurn();
  };
  return { lease, platform, clock, changes, tick };
}

test("a second candidate waits until the record has not changed for the lease's length", async () => {
  const store = new PlatformStore();
  const first = startCandidate("a", store);
  const second = startCandidate("b", store);
  await first.tick();
  await second.tick();
  assert.equal(first.lease.isHeld(), true);
  assert.equal(second.lease.isHeld(), false);
  for (let elapsedMs = 0; elapsedMs < 14_000; elapsedMs += 1_000) {
    await second.tick(1_000);
  }
  assert.equal(second.lease.isHeld(), false);
  // The lease lapses after 15.5 s, and the next attempt follows within 2 s.
  for (let elapsedMs = 0; elapsedMs < 4_000; elapsedMs += 1_000) {
    await second.tick(1_000);
  }
  assert.equal(second.lease.isHeld(), true);
  assert.equal(second.lease.status().holder, "b");
});

test("a renewed lease is never taken by another candidate", async () => {
  const store = new PlatformStore();
  const first = startCandidate("a", store);
  const second = startCandidate("b", store);
  for (let elapsedMs = 0; elapsedMs < 60_000; elapsedMs += 1_000) {
    await first.tick(1_000);
    await second.tick(1_000);
    assert.equal(second.lease.isHeld(), false);
  }
  assert.deepEqual(first.changes, [true]);
});

test("a holder that was paused past the expiry loses the lease before it handles an event", async () => {
  const store = new PlatformStore();
  const { lease, clock, changes, tick } = startCandidate("a", store);
  await tick();
  assert.equal(lease.isHeld(), true);
  clock.advance(15_000);
  assert.equal(lease.isHeld(), false, "checked before any event is handled");
  await tick();
  assert.deepEqual(changes, [true, false]);
});

test("a grant whose answer was lost is recognised by its token", async () => {
  const { lease, platform, tick } = startCandidate("a", new PlatformStore());
  platform.faults.loseWriteAnswersCount = 1;
  await tick();
  assert.equal(lease.isHeld(), true);
});

test("a write that had no effect is not treated as a grant", async () => {
  const { lease, platform, tick } = startCandidate("a", new PlatformStore());
  platform.faults.dropWritesCount = 1;
  await tick();
  assert.equal(lease.isHeld(), false);
  await tick(8_000);
  assert.equal(lease.isHeld(), true);
});

test("while renewals fail, the lease is held until its expiry only", async () => {
  const { lease, platform, tick } = startCandidate("a", new PlatformStore());
  await tick();
  platform.faults.down = true;
  for (let elapsedMs = 1_000; elapsedMs < 15_000; elapsedMs += 1_000) {
    await tick(1_000);
    assert.equal(lease.isHeld(), true, `after ${elapsedMs} ms`);
  }
  await tick(1_000);
  assert.equal(lease.isHeld(), false);
});

test("a released lease is taken at the next tick of another candidate and not acquired again by its former holder", async () => {
  const store = new PlatformStore();
  const first = startCandidate("a", store);
  const second = startCandidate("b", store);
  await first.tick();
  await first.lease.release();
  await second.tick();
  assert.equal(second.lease.isHeld(), true);
  await first.tick(30_000);
  assert.equal(first.lease.isHeld(), false);
});

test("only ranked daemons compete, for one reader lease each, and only readers for the acceptor lease", async () => {
  const rankedIds = ["a", "b"];
  const ranked = { rankedIds, competesElsewhere: false };
  assert.equal(isReaderCandidate({ ...ranked, instanceId: "a" }), true);
  assert.equal(isReaderCandidate({ ...ranked, instanceId: "c" }), false);
  const unranked = { rankedIds: [], instanceId: "c" };
  assert.equal(
    isReaderCandidate({ ...unranked, competesElsewhere: false }),
    true,
  );
  assert.equal(
    isReaderCandidate({ ...unranked, competesElsewhere: true }),
    false,
  );
  const reader = startCandidate("a", new PlatformStore());
  assert.equal(isAcceptorCandidate([reader.lease]), false);
  const excluded = startCandidate("c", new PlatformStore(), () => false);
  await excluded.tick(60_000);
  assert.deepEqual(excluded.platform.calls, {
    get: 0,
    list: 0,
    put: 0,
    watch: 0,
  });
  const tick = reader.tick();
  assert.equal(reader.lease.isCompeting(), true, "before the answer");
  await tick;
  assert.equal(isAcceptorCandidate([reader.lease]), true);
});
