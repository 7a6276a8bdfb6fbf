/**
 * Prints the figures of `docs/design/placement.md`: what callers get under uneven
 * demand. An argument selects the cases whose name contains it.
 */
import process from "node:process";
import {
  type PlacedUpstream,
  type PlacementOptions,
  type PlacementResult,
  placeUpstreams,
  simulatePlacement,
} from "../../src/testing/placement_simulation.ts";

type PlacementCase = Omit<PlacementOptions, "seed">;

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const WAVE = { swingRatio: 0.55, periodMs: 13_000 };
const WAVES = { wave: WAVE, durationMs: 35_000 };
const LOST = {
  loadRatio: 0.58,
  lost: { dataCentre: "a", atMs: 8_000 },
  durationMs: 15_000,
  measuredFromMs: 7_000,
};
const SLOW = { fromMs: 8_000, untilMs: 14_000, speed: 0.2 };
const UNEVEN = { isUneven: true };

function join(count: number, joiningCount: number): PlacedUpstream[] {
  const joining = placeUpstreams(joiningCount)
    .map((upstream) => ({ ...upstream, joinsAtMs: 14_000, coldMs: 3_000 }));
  return [...placeUpstreams(count), ...joining];
}

function withSlow(dataCentres?: string[]): PlacedUpstream[] {
  const [first, ...others] = placeUpstreams(4, dataCentres && { dataCentres });
  return [{ ...first as PlacedUpstream, slow: SLOW }, ...others];
}

const ONE_AND_THREE = ["a", "b", "b", "b"]
  .map((dataCentre) => ({ dataCentre }));

const JOIN = { measuredFromMs: 13_000, durationMs: 26_000 };

const CASES: Record<string, PlacementCase> = {
  "waves, 4, 0.70": {
    ...WAVES,
    upstreams: placeUpstreams(4),
    loadRatio: 0.7,
    measuredFromMs: 9_000,
  },
  "waves, 4, 0.87": {
    ...WAVES,
    upstreams: placeUpstreams(4),
    loadRatio: 0.87,
    measuredFromMs: 22_000,
  },
  "waves, 4 of different speed, 0.87": {
    ...WAVES,
    upstreams: placeUpstreams(4, UNEVEN),
    loadRatio: 0.87,
    refusableRatio: 0.1,
    measuredFromMs: 22_000,
  },
  "waves, 19, 0.80": {
    ...WAVES,
    upstreams: placeUpstreams(19),
    loadRatio: 0.8,
    measuredFromMs: 9_000,
  },
  "waves, 30, 0.80": {
    ...WAVES,
    upstreams: placeUpstreams(30),
    loadRatio: 0.8,
    measuredFromMs: 9_000,
    durationMs: 22_000,
  },
  "lost, 4": { ...LOST, upstreams: placeUpstreams(4) },
  "lost, 6": { ...LOST, upstreams: placeUpstreams(6) },
  "lost, 19": { ...LOST, upstreams: placeUpstreams(19) },
  "2 join 4, 0.80": { ...JOIN, upstreams: join(4, 2), loadRatio: 0.8 },
  "4 join 6, 0.87": { ...JOIN, upstreams: join(6, 4), loadRatio: 0.87 },
  "4 join 4, 0.10": { ...JOIN, upstreams: join(4, 4), loadRatio: 0.1 },
  "11 join 19, 0.40": {
    ...JOIN,
    upstreams: join(19, 11),
    loadRatio: 0.4,
    durationMs: 22_000,
  },
  "slow, 1 of 4": {
    upstreams: withSlow(),
    loadRatio: 0.58,
    measuredFromMs: 7_000,
    durationMs: 20_000,
  },
  "slow, afterwards": {
    upstreams: withSlow(),
    loadRatio: 0.58,
    measuredFromMs: 18_000,
    durationMs: 24_000,
  },
  "slow, afterwards, one data centre": {
    upstreams: withSlow(["a"]),
    loadRatio: 0.58,
    measuredFromMs: 18_000,
    durationMs: 24_000,
  },
  "1 and 3, 0.60": {
    upstreams: ONE_AND_THREE,
    loadRatio: 0.6,
    measuredFromMs: 5_000,
    durationMs: 15_000,
  },
  "1 and 3, 0.80": {
    upstreams: ONE_AND_THREE,
    loadRatio: 0.8,
    measuredFromMs: 14_000,
    durationMs: 24_000,
  },
};

for (const count of [30, 19, 6, 4]) {
  for (const workMs of [15, 60, 130]) {
    CASES[`idle, ${count}, ${workMs} ms`] = {
      upstreams: placeUpstreams(count, UNEVEN),
      loadRatio: 0.05,
      workMs,
      measuredFromMs: 2_000,
      durationMs: 15_000,
    };
  }
}

function formatResults(results: readonly PlacementResult[]): string {
  const mean = (field: (result: PlacementResult) => number) =>
    results.reduce((sum, result) => sum + field(result), 0) / results.length;
  const percent = (field: (result: PlacementResult) => number) =>
    `${(100 * mean(field)).toFixed(1)}%`;
  const firstMs = Math.max(...results.flatMap((r) => r.firstRequestMs));
  return [
    percent((r) => r.withinGoalRatio),
    `${mean((r) => r.meanMs).toFixed(1)} ms`,
    `${mean((r) => r.p99Ms).toFixed(0)} ms`,
    percent((r) => r.remoteRatio),
    percent((r) => r.remoteWithRoomRatio),
    mean((r) => r.deviationMaxCount).toFixed(0),
    mean((r) => r.openMaxCount).toFixed(0),
    percent((r) => r.refusedRatio),
    percent((r) => r.failedRatio),
    firstMs === -Infinity ? "" : `${firstMs.toFixed(0)} ms`,
  ].join(" | ");
}

console.log(
  "| case | within the goal | mean | 99th percentile | to other data centres | " +
    "with room | excess | most open | refused | failed | first request |",
);
for (const [name, options] of Object.entries(CASES)) {
  if (name.includes(process.argv[2] ?? "")) {
    const results = SEEDS.map((seed) =>
      simulatePlacement({ ...options, seed })
    );
    console.log(`| ${name} | ${formatResults(results)} |`);
  }
}
