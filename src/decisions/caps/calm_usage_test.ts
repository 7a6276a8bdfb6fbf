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

/**
 * Random arrivals at the usual rate. All requests of a tenant go to a few
 * daemons, which change every 700 ms.
 */
function offer(
  simulation: CapSimulation,
  caps: ReadonlyMap<string, UsageCap>,
  { fromMs, untilMs }: { fromMs: number; untilMs: number },
): number {
  const { random, names } = simulation;
  let count = 0;
  for (const [tenantName, { ratePerS }] of caps) {
    let atMs = fromMs;
    let entries: string[] = [];
    let changesAtMs = 0;
    while (true) {
      atMs -= Math.log(1 - random.nextFloat()) * 1_000 * USUAL_RATIO / ratePerS;
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

test("99 of 100 requests below the cap are admitted, with uneven and moving demand", () => {
  fc.assert(
    fc.property(
      fc.record({
        seed: fc.integer(),
        daemonsCount: fc.constantFrom(3, 9, 65, 300),
        dataCentresCount: fc.integer({ min: 1, max: 4 }),
      }),
      (options) => {
        const simulation = new CapSimulation({
          ...options,
          caps: CALM_CAPS,
          network: CALM_NETWORK,
        });
        const count = offer(simulation, CALM_CAPS, {
          fromMs: TRAFFIC_FROM_MS,
          untilMs: 30_000,
        });
        simulation.run(31_000);
        assert.ok(
          simulation.admittedCount >= 0.99 * count,
          `${simulation.admittedCount} of ${count}`,
        );
        for (const [tenantName, cap] of CALM_CAPS) {
          const times = simulation.admittedAtMs(tenantName);
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
