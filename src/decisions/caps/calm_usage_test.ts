import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { CapSimulation } from "../../testing/cap_simulation.ts";
import { findExcess } from "../../testing/cap_window.ts";
import type { UsageCap } from "./cap_limits.ts";

const CALM_NETWORK = {
  lossRatio: 0,
  duplicateRatio: 0,
  lateRatio: 0,
  lateMs: 0,
  transitMinMs: 1,
  transitMaxMs: 25,
};
/** The usual rate of a tenant is its cap divided by this. */
const USUAL_RATIO = 1.6;
const TRAFFIC_FROM_MS = 12_000;
const RESTART_AT_MS = 18_000;
/**
 * Time after a restart of all daemons at which calm traffic is served again: the
 * processes are down for 1.2 s at most, and lease after 1.5 s.
 */
const RESTART_MAX_MS = 4_000;

/**
 * Random arrivals at the usual rate. All requests of a tenant go to a few
 * daemons, which change every 700 ms.
 */
function offer(
  simulation: CapSimulation,
  caps: ReadonlyMap<string, UsageCap>,
  { fromMs, untilMs, factor = 1 }: {
    fromMs: number;
    untilMs: number;
    /** Offered part of the usual rate. */
    factor?: number;
  },
): number {
  const { random, names } = simulation;
  let count = 0;
  for (const [tenantName, { ratePerS }] of caps) {
    let atMs = fromMs;
    let entries: string[] = [];
    let changesAtMs = 0;
    while (true) {
      const meanMs = 1_000 * USUAL_RATIO / (ratePerS * factor);
      atMs -= Math.log(1 - random.nextFloat()) * meanMs;
      if (atMs >= untilMs) {
        break;
      }
      if (atMs >= changesAtMs) {
        changesAtMs = atMs + 700;
        const entriesCount = 1 + random.nextInt(Math.min(names.length, 20));
        entries = Array.from(
          { length: entriesCount },
          () => names[random.nextInt(names.length)]!,
        );
      }
      // The first daemon gets far more than the others.
      const index = Math.floor(entries.length * random.nextFloat() ** 3);
      const entry = entries[index]!;
      simulation.at(atMs, () => simulation.request(entry, tenantName));
      count++;
    }
  }
  return count;
}

const CALM_CAPS: ReadonlyMap<string, UsageCap> = new Map([
  ["tiny-1", { ratePerS: 0.5, burstCount: 1, windowMs: 5_000 }],
  ["tiny-2", { ratePerS: 1, burstCount: 1, windowMs: 5_000 }],
  ["tiny-3", { ratePerS: 1, burstCount: 2, windowMs: 5_000 }],
  ["tiny-4", { ratePerS: 1.2, burstCount: 2, windowMs: 5_000 }],
  ["small", { ratePerS: 5, burstCount: 2, windowMs: 5_000 }],
  ["middle", { ratePerS: 40, burstCount: 10, windowMs: 5_000 }],
  ["large", { ratePerS: 256, burstCount: 20, windowMs: 5_000 }],
]);

// Guards against refusals below the cap, also soon after a restart of all daemons
// and while requests wait long in the queues of upstreams.
test("99 of 100 requests below the cap are admitted, with uneven and moving demand", () => {
  fc.assert(
    fc.property(
      fc.record({
        seed: fc.integer(),
        daemonsCount: fc.constantFrom(3, 9, 65, 300),
        dataCentresCount: fc.integer({ min: 1, max: 4 }),
        isRestarted: fc.boolean(),
        queueMaxMs: fc.constantFrom(0, 600, 2_500),
      }),
      ({ isRestarted, queueMaxMs, ...options }) => {
        const simulation = new CapSimulation({
          ...options,
          caps: CALM_CAPS,
          network: CALM_NETWORK,
        });
        simulation.queuedUntilMs = (nowMs) =>
          nowMs + simulation.random.nextInt(queueMaxMs + 1);
        offer(simulation, CALM_CAPS, {
          fromMs: TRAFFIC_FROM_MS,
          untilMs: 30_000,
        });
        if (isRestarted) {
          simulation.at(
            RESTART_AT_MS,
            () =>
              simulation.restartAll({
                knownMaxCount: 3,
                completeAfterMs: 400,
              }),
          );
          simulation.run(RESTART_AT_MS + RESTART_MAX_MS);
        }
        const { admittedCount, offeredCount } = simulation;
        simulation.run(31_000);
        const admitted = simulation.admittedCount - admittedCount;
        const offered = simulation.offeredCount - offeredCount;
        assert.ok(admitted >= 0.99 * offered, `${admitted} of ${offered}`);
        for (const [tenantName, cap] of CALM_CAPS) {
          const times = simulation.startedAtMs(tenantName);
          assert.equal(
            findExcess(times, [{ fromMs: 0, untilMs: Infinity, cap }]),
            undefined,
          );
        }
      },
    ),
    { seed: 11, numRuns: 8 },
  );
});

// Guards against refusals below the cap because requests that run longer than the
// window are taken for requests that wait in a queue.
test("requests that run longer than the window do not use the cap twice", () => {
  const cap = { ratePerS: 10, burstCount: 2, windowMs: 5_000 };
  const caps = new Map([["t", cap]]);
  for (const runMs of [10_000, 30_000]) {
    const simulation = new CapSimulation({
      seed: 3,
      daemonsCount: 9,
      dataCentresCount: 2,
      caps,
      network: CALM_NETWORK,
    });
    simulation.runMs = runMs;
    offer(simulation, caps, { fromMs: TRAFFIC_FROM_MS, untilMs: 72_000 });
    simulation.run(73_000);
    const { admittedCount, offeredCount } = simulation;
    assert.ok(
      admittedCount >= 0.99 * offeredCount,
      `${runMs} ms: ${admittedCount} of ${offeredCount}`,
    );
  }
});

// Guards against a tenant whose callers are refused by the cap while and after its
// upstreams refuse requests, none of which has run.
test("requests that upstreams refuse at once do not use up the cap", () => {
  const cap = { ratePerS: 100, burstCount: 20, windowMs: 5_000 };
  const caps = new Map([["t", cap]]);
  const simulation = new CapSimulation({
    seed: 5,
    daemonsCount: 9,
    dataCentresCount: 2,
    caps,
    network: CALM_NETWORK,
  });
  simulation.isTaking = (nowMs) => nowMs < 15_000 || nowMs >= 20_000;
  offer(simulation, caps, { fromMs: TRAFFIC_FROM_MS, untilMs: 15_000 });
  // Callers repeat what was refused.
  offer(simulation, caps, { fromMs: 15_000, untilMs: 20_000, factor: 3 });
  offer(simulation, caps, { fromMs: 20_000, untilMs: 25_000 });
  simulation.run(26_000);
  const { admittedCount, offeredCount } = simulation;
  assert.ok(
    admittedCount >= 0.99 * offeredCount,
    `${admittedCount} of ${offeredCount}`,
  );
  const excess = findExcess(simulation.startedAtMs("t"), [
    { fromMs: 0, untilMs: Infinity, cap },
  ]);
  assert.equal(excess, undefined);
});
