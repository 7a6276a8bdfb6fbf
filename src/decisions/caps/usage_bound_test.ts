import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { CapSimulation } from "../../testing/cap_simulation.ts";
import { type CapInForce, findExcess } from "../../testing/cap_window.ts";
import type { UsageCap } from "./cap_limits.ts";

const FAULTY_NETWORK = {
  lossRatio: 0.02,
  duplicateRatio: 0.05,
  lateRatio: 0.03,
  lateMs: 900,
  transitMinMs: 1,
  transitMaxMs: 60,
};
const TRAFFIC_FROM_MS = 6_000;
const END_MS = 26_000;
/** Factor between the offered rate and the cap. */
const OVERLOAD_RATIO = 4;

const CAPS: ReadonlyMap<string, UsageCap> = new Map([
  ["tiny", { ratePerS: 1, burstCount: 1, windowMs: 5_000 }],
  ["small", { ratePerS: 4, burstCount: 60, windowMs: 5_000 }],
  ["bursty", { ratePerS: 20, burstCount: 200, windowMs: 5_000 }],
  ["large", { ratePerS: 100, burstCount: 5, windowMs: 5_000 }],
]);
const CHANGED_CAPS: ReadonlyMap<string, UsageCap> = new Map([
  ["tiny", { ratePerS: 10, burstCount: 20, windowMs: 5_000 }],
  ["small", { ratePerS: 1, burstCount: 1, windowMs: 5_000 }],
  ["bursty", { ratePerS: 40, burstCount: 10, windowMs: 5_000 }],
  ["large", { ratePerS: 10, burstCount: 5, windowMs: 5_000 }],
]);
/** Time after which all daemons have changed caps in force. */
const CHANGE_MAX_MS = 1_000;

/**
 * Offers more than the cap: steadily at a few daemons that change, and every
 * 2.5 s a burst at all daemons, after a pause in which buckets and stocks fill.
 */
function offer(
  simulation: CapSimulation,
  tenantName: string,
  { ratePerS, burstCount }: UsageCap,
): void {
  const { random, names } = simulation;
  for (let startMs = TRAFFIC_FROM_MS; startMs < END_MS; startMs += 2_500) {
    const isQuiet = random.nextFloat() < 0.3;
    if (isQuiet) {
      continue;
    }
    const isWide = random.nextFloat() < 0.5;
    const entriesCount = isWide ? names.length : 1 + random.nextInt(3);
    const entries = Array.from(
      { length: entriesCount },
      () => names[random.nextInt(names.length)]!,
    );
    const send = (atMs: number) => {
      const entry = entries[random.nextInt(entries.length)]!;
      simulation.at(atMs, () => simulation.request(entry, tenantName));
    };
    for (let index = 0; index < burstCount + ratePerS; index++) {
      send(startMs + random.nextInt(20));
    }
    const steadyCount = ratePerS * 2.5 * OVERLOAD_RATIO;
    for (let index = 0; index < steadyCount; index++) {
      send(startMs + random.nextInt(2_500));
    }
  }
}

/** Offers more than the cap of each tenant. */
function offerAll(simulation: CapSimulation): void {
  for (const [tenantName, cap] of CAPS) {
    offer(simulation, tenantName, cap);
  }
}

/** Checks that no window has more starts than caps that never changed allow. */
function assertCapsHold(simulation: CapSimulation): void {
  for (const [tenantName, cap] of CAPS) {
    const excess = findExcess(simulation.startedAtMs(tenantName), [
      { fromMs: 0, untilMs: Infinity, cap },
    ]);
    assert.equal(excess, undefined, `${tenantName}: ${excess}`);
  }
}

type Fault =
  | "restart"
  | "restart two"
  | "restart all"
  | "pause"
  | "partition"
  | "heal"
  | "leave"
  | "join"
  | "change caps"
  | "restore caps";

function inject(
  simulation: CapSimulation,
  fault: Fault,
  capsInForce: Map<string, CapInForce[]>,
): void {
  const { random, candidates, names } = simulation;
  const candidate = candidates[random.nextInt(candidates.length)]!;
  const restart = (name: string) => {
    simulation.stop(name);
    simulation.at(
      simulation.nowMs + 100 + random.nextInt(3_000),
      () => simulation.start(name),
    );
  };
  const changeCaps = (caps: ReadonlyMap<string, UsageCap>) => {
    simulation.applyCaps(caps);
    for (const [tenantName, cap] of caps) {
      const known = capsInForce.get(tenantName)!;
      known.at(-1)!.untilMs = simulation.nowMs + CHANGE_MAX_MS;
      known.push({ fromMs: simulation.nowMs, untilMs: Infinity, cap });
    }
  };
  switch (fault) {
    case "restart":
      return restart(candidate);
    case "restart two":
      restart(candidate);
      return restart(names[random.nextInt(names.length)]!);
    case "restart all":
      return simulation.restartAll({
        knownMaxCount: 1 + random.nextInt(names.length),
        completeAfterMs: 100 + random.nextInt(6_000),
      });
    case "pause":
      return simulation.pause(candidate, 500 + random.nextInt(5_000));
    case "partition": {
      const salt = random.nextInt(1_000);
      const modulus = 2 + random.nextInt(4);
      return simulation.partition((name) =>
        (Number(name.split("-")[1]) + salt) % modulus === 0
      );
    }
    case "heal":
      return simulation.partition(undefined);
    case "leave":
      return simulation.leave(candidate);
    case "join":
      simulation.join();
      return;
    case "change caps":
      return changeCaps(CHANGED_CAPS);
    case "restore caps":
      return changeCaps(CAPS);
  }
}

// Guards against tokens that are counted by two owners, granted twice, or used
// long after they were granted.
test("no window of 5 s has more admitted requests than the cap allows", () => {
  const faults = fc.array(
    fc.record({
      atMs: fc.integer({ min: 5_000, max: 24_000 }),
      fault: fc.constantFrom<Fault>(
        "restart",
        "restart two",
        "restart all",
        "pause",
        "partition",
        "partition",
        "heal",
        "heal",
        "leave",
        "join",
        "change caps",
        "restore caps",
      ),
    }),
    { minLength: 1, maxLength: 8 },
  );
  fc.assert(
    fc.property(
      fc.record({
        seed: fc.integer(),
        daemonsCount: fc.oneof(
          { weight: 9, arbitrary: fc.integer({ min: 3, max: 80 }) },
          { weight: 1, arbitrary: fc.constant(300) },
        ),
        dataCentresCount: fc.integer({ min: 1, max: 4 }),
      }),
      faults,
      (options, plannedFaults) => {
        const simulation = new CapSimulation({
          ...options,
          caps: CAPS,
          network: FAULTY_NETWORK,
        });
        const capsInForce = new Map<string, CapInForce[]>();
        for (const [tenantName, cap] of CAPS) {
          capsInForce.set(tenantName, [{ fromMs: 0, untilMs: Infinity, cap }]);
          offer(simulation, tenantName, cap);
        }
        for (const { atMs, fault } of plannedFaults) {
          simulation.at(atMs, () => inject(simulation, fault, capsInForce));
        }
        simulation.run(END_MS);
        for (const [tenantName, caps] of capsInForce) {
          const excess = findExcess(simulation.startedAtMs(tenantName), caps);
          assert.equal(excess, undefined, `${tenantName}: ${excess}`);
        }
      },
    ),
    { seed: 12, numRuns: 40 },
  );
});

// Guards against a divisor that falls on both sides once the members of the other
// side are forgotten.
test("the bound holds in a partition after which each side forgets the other", () => {
  fc.assert(
    fc.property(
      fc.integer(),
      fc.integer({ min: 2, max: 30 }),
      fc.integer({ min: 1, max: 29 }),
      (seed, daemonsCount, firstSideCount) => {
        const simulation = new CapSimulation({
          seed,
          daemonsCount,
          dataCentresCount: 2,
          caps: CAPS,
          network: FAULTY_NETWORK,
        });
        offerAll(simulation);
        const firstSide = new Set(simulation.names.slice(0, firstSideCount));
        simulation.at(
          7_000,
          () => simulation.partition((name) => firstSide.has(name)),
        );
        simulation.at(10_000, () => simulation.forgetUnreachable());
        simulation.run(END_MS);
        assertCapsHold(simulation);
      },
    ),
    { seed: 15, numRuns: 10 },
  );
});

// Guards against requests that are charged in one window and start in the next,
// because they have waited in the queue of an upstream.
test("the bound holds for the starts of requests that wait for a slow upstream", () => {
  fc.assert(
    fc.property(
      fc.integer(),
      fc.integer({ min: 300, max: 4_500 }),
      fc.integer({ min: 0, max: 8_000 }),
      (seed, stallMs, pauseMs) => {
        const simulation = new CapSimulation({
          seed,
          daemonsCount: 12,
          dataCentresCount: 3,
          caps: CAPS,
          network: FAULTY_NETWORK,
        });
        // Upstreams start nothing for a while, and then all that has waited.
        simulation.queuedUntilMs = (nowMs) => {
          const passedMs = nowMs % (stallMs + pauseMs);
          return passedMs < stallMs ? nowMs - passedMs + stallMs : nowMs;
        };
        offerAll(simulation);
        simulation.run(END_MS);
        assertCapsHold(simulation);
      },
    ),
    { seed: 14, numRuns: 10 },
  );
});

// Guards against shares that are divided by the few members that a daemon knows
// until the store has told it all of them.
test("the bound holds after a restart of all daemons with incomplete lists of members", () => {
  fc.assert(
    fc.property(fc.integer(), fc.boolean(), (seed, isStoreDown) => {
      const simulation = new CapSimulation({
        seed,
        daemonsCount: 12,
        dataCentresCount: 3,
        caps: CAPS,
        network: FAULTY_NETWORK,
      });
      offerAll(simulation);
      simulation.at(
        8_000,
        () =>
          simulation.restartAll({
            knownMaxCount: 6,
            completeAfterMs: isStoreDown ? END_MS : 4_000,
          }),
      );
      simulation.run(END_MS);
      assertCapsHold(simulation);
    }),
    { seed: 13, numRuns: 8 },
  );
});

// Guards against requests that have waited at upstreams and that no daemon reports
// any more, because the one that sent them has ended.
test("the bound holds when a daemon ends after a stall of the upstreams", () => {
  const cap = { ratePerS: 100, burstCount: 10, windowMs: 5_000 };
  const simulation = new CapSimulation({
    seed: 1,
    daemonsCount: 12,
    dataCentresCount: 3,
    caps: new Map([["t", cap]]),
    network: { ...FAULTY_NETWORK, lossRatio: 0, lateRatio: 0 },
  });
  const stallEndMs = 16_000;
  simulation.queuedUntilMs = (nowMs) =>
    nowMs >= stallEndMs - 2_000 ? Math.max(nowMs, stallEndMs) : nowMs;
  const [entry, other] = simulation.names
    .filter((name) => !simulation.candidates.includes(name)) as [
      string,
      string,
    ];
  const endMs = stallEndMs + 100;
  simulation.at(endMs, () => simulation.stop(entry));
  for (let atMs = 12_000; atMs < END_MS; atMs += 3) {
    const name = atMs < endMs - 50 ? entry : other;
    simulation.at(atMs, () => simulation.request(name, "t"));
  }
  simulation.run(END_MS);
  const excess = findExcess(simulation.startedAtMs("t"), [
    { fromMs: 0, untilMs: Infinity, cap },
  ]);
  assert.equal(excess, undefined);
});
