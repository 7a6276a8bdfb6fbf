/** Plays one restart of all daemons on a virtual clock. */
import type { Scenario } from "./scenario.ts";
import type { ServedCounts } from "./served_counts.ts";
import { SimulatedFleet } from "./simulated_fleet.ts";
import { VirtualTime } from "./virtual_time.ts";

/**
 * Plays a scenario.
 *
 * @param scenario Load, burst and restart.
 * @param seed Seed of the arrivals and of all random choices.
 * @returns Served requests by route and time.
 */
export function playRestart(scenario: Scenario, seed: number): ServedCounts {
  const time = new VirtualTime();
  return time.run(() => {
    const fleet = new SimulatedFleet(time.events, { scenario, seed });
    fleet.start();
    time.events.runUntil(scenario.endMs);
    return fleet.counts;
  });
}
