import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../core/random.ts";
import {
  CurrencyFleet,
  type KeyTable,
  REVOCATION_MAX_MS,
  type SimulatedKeyDaemon,
} from "../testing/currency_fleet.ts";

const KEY = "k-1";
const WITH_KEY: KeyTable = { [KEY]: "amber", "k-2": "birch" };
const WITHOUT_KEY: KeyTable = { "k-2": "birch" };
const MOVED_KEY: KeyTable = { [KEY]: "birch", "k-2": "birch" };
/** Time after which an unknown key may be in use elsewhere. */
const APPLY_MAX_MS = 2_500;
const START_MS = 4_000;

async function startFleet(seed: number, daemonsCount = 4) {
  const random = new SeededRandom(seed);
  const fleet = new CurrencyFleet(daemonsCount, random, WITH_KEY);
  (fleet.daemons[0] as SimulatedKeyDaemon).isWatcher = true;
  await fleet.run(START_MS);
  return { fleet, random, daemons: fleet.daemons };
}

/** Tables that were the newest at some time of the last `durationMs`. */
function recentTables(fleet: CurrencyFleet, durationMs: number): KeyTable[] {
  const fromMs = fleet.nowMs - durationMs;
  return fleet.history
    .filter((_, index) => (fleet.history[index + 1]?.atMs ?? Infinity) > fromMs)
    .map(({ keys }) => keys);
}

/** Asks each running daemon, and checks each answer against the history. */
function checkAnswers(fleet: CurrencyFleet): void {
  for (const daemon of fleet.daemons.filter(({ isStopped }) => !isStopped)) {
    const { tenantName, refusal } = daemon.ask(KEY);
    if (tenantName !== undefined) {
      assert.ok(
        recentTables(fleet, REVOCATION_MAX_MS)
          .some((keys) => keys[KEY] === tenantName),
        `${daemon.name} took the key for ${tenantName} at ${fleet.nowMs} ms`,
      );
    }
    if (refusal === "credential_unknown") {
      assert.ok(
        recentTables(fleet, APPLY_MAX_MS).some((keys) => !(KEY in keys)),
        `${daemon.name} answered 401 to a valid key at ${fleet.nowMs} ms`,
      );
    }
  }
}

// Guards against refusals that nothing justifies, and against a store that each
// daemon reads all the time.
test("in normal operation no valid key is refused, and only the watcher reads the store", async () => {
  const { fleet, daemons } = await startFleet(1, 12);
  const readsCount = fleet.readsCount;
  await fleet.run(30_000, () =>
    daemons.forEach((daemon) => {
      assert.deepEqual(daemon.ask(KEY).tenantName, "amber");
      assert.ok(daemon.tracker.ageMs <= APPLY_MAX_MS);
    }));
  assert.ok(fleet.readsCount - readsCount <= 30);
});

test("a daemon that the store refuses goes on with the currency of its peers", async () => {
  const { fleet, daemons } = await startFleet(2);
  const [watcher, refused] = daemons as [
    SimulatedKeyDaemon,
    SimulatedKeyDaemon,
  ];
  refused.hasStore = false;
  const check = () => assert.equal(refused.ask(KEY).tenantName, "amber");
  await fleet.run(12_000, check);
  // The elected watcher is refused, too: others read the store themselves.
  watcher.hasStore = false;
  await fleet.run(12_000, check);
});

test("without any path to the store keys are refused from the bound on, not before, and accepted again after it returns", async () => {
  const { fleet, daemons } = await startFleet(3);
  daemons.forEach((daemon) => daemon.hasStore = false);
  await fleet.run(
    REVOCATION_MAX_MS + APPLY_MAX_MS,
    () =>
      daemons.forEach((daemon) =>
        assert.equal(
          daemon.ask(KEY).refusal,
          daemon.tracker.ageMs < REVOCATION_MAX_MS - 100
            ? undefined
            : "credential_unverifiable",
        )
      ),
  );
  daemons.forEach((daemon) => {
    assert.equal(daemon.ask(KEY).refusal, "credential_unverifiable");
    daemon.hasStore = true;
  });
  await fleet.run(3_000);
  daemons.forEach((daemon) =>
    assert.equal(daemon.ask(KEY).tenantName, "amber")
  );
});

test("a restarted daemon accepts no key before its first exact read or a peer's proof", async () => {
  const { fleet, daemons } = await startFleet(4);
  const daemon = daemons[1] as SimulatedKeyDaemon;
  daemons.forEach(({ name }) => fleet.setLink(daemon.name, name, false));
  daemon.hasStore = false;
  daemon.restart();
  daemon.follower.applyFromPeer(fleet.daemons[0]?.follower.routes?.config);
  await fleet.run(
    2_000,
    () => assert.equal(daemon.ask(KEY).refusal, "credential_unverifiable"),
  );
  daemon.hasStore = true;
  await fleet.run(2_000);
  assert.equal(daemon.ask(KEY).tenantName, "amber");
});

// A configuration that cannot be decoded may have withdrawn the key.
test("an object of the store that cannot be decoded proves nothing", async () => {
  const { fleet, daemons } = await startFleet(5, 1);
  const [daemon] = daemons as [SimulatedKeyDaemon];
  fleet.accept(WITHOUT_KEY);
  Object.defineProperty(fleet.object, "value", { value: null });
  await fleet.run(REVOCATION_MAX_MS);
  assert.equal(daemon.ask(KEY).refusal, "credential_unverifiable");
});

/** Changes something at random: a table, a link, a machine or the delays. */
function disturb(fleet: CurrencyFleet, random: SeededRandom): void {
  const { daemons } = fleet;
  const pick = () =>
    daemons[random.nextInt(daemons.length)] as SimulatedKeyDaemon;
  const daemon = pick();
  switch (random.nextInt(9)) {
    case 0:
    case 1: {
      const tables = [WITH_KEY, WITHOUT_KEY, MOVED_KEY];
      fleet.accept(tables[random.nextInt(tables.length)] as KeyTable);
      return;
    }
    case 2:
      daemon.hasStore = !daemon.hasStore;
      return;
    case 3:
      fleet.setLink(daemon.name, pick().name, random.nextInt(2) === 0);
      return;
    case 4:
      daemon.isStopped = !daemon.isStopped;
      daemon.isSuspended = daemon.isStopped && random.nextInt(2) === 0;
      return;
    case 5:
      // The watcher's state at its peers is wrong, or two of them watch.
      daemon.isWatcher = !daemon.isWatcher;
      return;
    case 6:
      if (!daemon.isStopped) {
        daemon.restart();
      }
      return;
    case 7:
      if (!daemon.isStopped) {
        daemon.clock.jumpWall((random.nextFloat() - 0.5) * 20_000);
      }
      return;
    default:
      fleet.delayMaxMs = [20, 400, 4_000][random.nextInt(3)] as number;
  }
}

// Guards against a withdrawn key that runs after its bound, against requests of
// the former tenant of a key, and against a 401 for a key that is valid in all
// configurations that may be in force.
test("whatever fails, no key is accepted after its bound, and no valid one is answered 401", async () => {
  for (let seed = 100; seed < 160; seed++) {
    const { fleet, random } = await startFleet(seed, 3 + seed % 4);
    for (let count = 0; count < 60; count++) {
      disturb(fleet, random);
      await fleet.run(50 + 50 * random.nextInt(30), () => checkAnswers(fleet));
    }
  }
});
