import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { SeededRandom } from "../core/random.ts";
import type { CapDecision } from "../decisions/caps/tenant_waiters.ts";
import { decodeUsageAsk } from "../link/usage_frames.ts";
import type { FleetTenant, MemberRecord } from "../schemas/fleet_schema.ts";
import { type Logger, NullLogger } from "../telemetry/logger.ts";
import { waitFor } from "../testing/wait_for.ts";
import { UsageCapLog } from "./usage_cap_log.ts";
import { FleetUsageCaps } from "./usage_caps.ts";

const TENANT: FleetTenant = {
  name: "amber",
  keys: [],
  ratePerS: 100,
  burstCount: 50,
};
const UNCAPPED: FleetTenant = { ...TENANT, name: "birch", ratePerS: 0 };
const NAMES = ["one", "two"];

/** Two daemons in one data centre, whose links deliver frames at once. */
function createPair(t: TestContext) {
  let framesCount = 0;
  let selectionsCount = 0;
  const daemons = new Map<string, FleetUsageCaps>();
  const records = NAMES.map((name) => ({
    name,
    dataCentre: "a",
    pool: "votes",
    link: { host: "127.0.0.1", port: 1 },
  }));
  const create = (ownName: string, seed: number) =>
    new FleetUsageCaps({
      members: () => ({
        ownRecord: { name: ownName },
        isListComplete: true,
        isNewMember: false,
        reselectLinks: () => selectionsCount++,
        link: (name) => ({
          isUp: true,
          state: undefined,
          sendUsageAsk: (frame) => {
            framesCount++;
            const answer = daemons.get(name)?.handleAskFrame(frame, ownName);
            if (answer !== undefined) {
              daemons.get(ownName)?.handleGrantFrame(answer, name);
            }
          },
        }),
      }),
      isStopping: () => false,
      windowMs: 5_000,
      random: new SeededRandom(seed),
      log: new NullLogger(),
    });
  NAMES.forEach((name, seed) => daemons.set(name, create(name, seed)));
  const tick = () => {
    for (const daemon of daemons.values()) {
      daemon.selectLinked(records);
      daemon.tick(performance.now());
    }
  };
  t.after(() => daemons.forEach((daemon) => daemon.close()));
  return {
    daemons: NAMES.map((name) => daemons.get(name)!),
    records,
    tick,
    framesCount: () => framesCount,
    selectionsCount: () => selectionsCount,
  };
}

function admit(
  daemon: FleetUsageCaps,
  tenantName = TENANT.name,
): Promise<CapDecision> {
  return new Promise((resolve) => daemon.admit(tenantName, resolve));
}

test("without a tenant with a cap there are no messages and no further links", async (t) => {
  const pair = createPair(t);
  const [one] = pair.daemons;
  one!.applyTenants([UNCAPPED]);
  assert.deepEqual(one!.selectLinked(pair.records), []);
  pair.tick();
  assert.deepEqual(await admit(one!, UNCAPPED.name), { isAdmitted: true });
  assert.equal(pair.framesCount(), 0);
  assert.equal(pair.selectionsCount(), 0);
});

test("requests at two daemons share one cap, and those over it are refused", async (t) => {
  const pair = createPair(t);
  for (const daemon of pair.daemons) {
    daemon.applyTenants([TENANT, UNCAPPED]);
  }
  assert.deepEqual([...pair.daemons[0]!.selectLinked(pair.records)].sort(), [
    "one",
    "two",
  ]);
  await waitFor("the buckets have tokens", async () => {
    pair.tick();
    const decisions = await Promise.all(
      pair.daemons.map((daemon) => admit(daemon)),
    );
    return decisions.every(({ isAdmitted }) => isAdmitted);
  });
  const startedAtMs = performance.now();
  const decisions = await Promise.all(
    Array.from(
      { length: 2_000 },
      (_, index) => admit(pair.daemons[index % 2]!),
    ),
  );
  const tookMs = performance.now() - startedAtMs;
  const admitted = decisions.filter(({ isAdmitted }) => isAdmitted);
  const boundCount = 60 + TENANT.ratePerS * (tookMs + 100) / 1_000;
  assert.ok(admitted.length <= boundCount, `${admitted.length}`);
  for (const decision of decisions) {
    assert.ok(decision.isAdmitted || decision.retryAfterMs >= 0);
  }
  const gauges = pair.daemons.map((daemon) => daemon.gauges);
  const refusedCount = gauges
    .reduce((sum, { usageCapRefusalsCount }) => sum + usageCapRefusalsCount, 0);
  assert.ok(refusedCount >= decisions.length - admitted.length);
});

/** Daemon whose owners are two peers that do not answer. */
function createSilentPeer(t: TestContext): FleetUsageCaps {
  const daemon = new FleetUsageCaps({
    members: () => ({
      ownRecord: { name: "own" },
      isListComplete: true,
      isNewMember: false,
      reselectLinks: () => {},
      link: () => ({
        isUp: true,
        state: undefined,
        sendUsageAsk: () => {},
      }),
    }),
    isStopping: () => false,
    windowMs: 5_000,
    random: new SeededRandom(1),
    log: new NullLogger(),
  });
  t.after(() => daemon.close());
  daemon.applyTenants([TENANT]);
  daemon.selectLinked(["peer-1", "peer-2"].map((name) => ({
    name,
    dataCentre: name,
    pool: "votes",
    link: { host: "127.0.0.1", port: 1 },
  })));
  daemon.tick(performance.now());
  return daemon;
}

test("a request whose owner does not answer is refused with a time to return", async (t) => {
  const decision = await admit(createSilentPeer(t));
  assert.ok(!decision.isAdmitted && decision.retryAfterMs >= 0);
});

test("a cancelled request gets no decision", async (t) => {
  const daemon = createSilentPeer(t);
  let isDecided = false;
  const cancel = daemon.admit(TENANT.name, () => isDecided = true);
  cancel(undefined, performance.now());
  const other = await admit(daemon);
  assert.equal(other.isAdmitted, false);
  assert.equal(isDecided, false);
});

test("a waiting request of a tenant that loses its cap is admitted", async (t) => {
  const daemon = createSilentPeer(t);
  const waiting = admit(daemon);
  daemon.applyTenants([{ ...TENANT, ratePerS: 0 }]);
  assert.equal((await waiting).isAdmitted, true);
  assert.equal((await admit(daemon)).isAdmitted, true);
});

test("refusals of many tenants take few log lines", () => {
  const lines: string[] = [];
  const log: Logger = {
    ...new NullLogger(),
    info: (message: string) => lines.push(message),
    debug: () => {},
    warn: () => {},
    error: () => {},
  };
  const capLog = new UsageCapLog(log);
  for (let nowMs = 0; nowMs < 20_000; nowMs += 10) {
    capLog.recordRefusal(`tenant-${nowMs % 400}`, nowMs);
  }
  assert.ok(lines.length >= 6 && lines.length <= 13, String(lines.length));
});

// Guards against work for each change of the members in large deployments without
// tenants, and against a cap that is divided by too few members when it comes later.
test("members are counted only once there is a tenant with a cap", (t) => {
  let readsCount = 0;
  const records = ["own", "peer-1", "peer-2"].map((name) => ({
    name,
    get dataCentre() {
      readsCount++;
      return "a";
    },
  })) as unknown as MemberRecord[];
  const asks: (readonly unknown[])[] = [];
  const usage = new FleetUsageCaps({
    members: () => ({
      ownRecord: { name: "own" },
      isListComplete: true,
      isNewMember: false,
      link: () => ({
        isUp: true,
        state: { isStopping: false },
        sendUsageAsk: (frame) => asks.push(frame),
      }),
      reselectLinks: () => {},
    }),
    isStopping: () => true,
    windowMs: 5_000,
    random: new SeededRandom(1),
    log: new NullLogger(),
  });
  t.after(() => usage.close());
  usage.applyTenants([UNCAPPED]);
  usage.selectLinked(records);
  usage.selectLinked(records);
  assert.equal(readsCount, 0);
  usage.applyTenants([TENANT]);
  usage.selectLinked(records);
  usage.tick(performance.now());
  usage.admit(TENANT.name, () => {});
  assert.ok(asks.length > 0);
  for (const ask of asks) {
    assert.equal(decodeUsageAsk(ask).membersCount, 3);
  }
});
