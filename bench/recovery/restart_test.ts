import assert from "node:assert/strict";
import { test } from "node:test";
import { playRestart } from "./play_restart.ts";
import { CHAIN_SCENARIO, type Scenario } from "./scenario.ts";

/** Goodput within 5% of its level before counts as recovered. */
const RECOVERED_RATIO = 0.95;
const RECOVERY_MS = 15_000;
const COMPARED_MS = 6_000;
const SEEDS = [1, 2, 3];

function assertRecovery(scenario: Scenario, seed: number): void {
  const { atMs, downMs } = scenario.restart;
  const counts = playRestart(scenario, seed);
  const before = counts.servedRatio(atMs - COMPARED_MS, atMs);
  const fromMs = Math.ceil((atMs + downMs + RECOVERY_MS) / 1_000) * 1_000;
  const after = counts.servedRatio(fromMs, fromMs + COMPARED_MS);
  assert.ok(
    after >= RECOVERED_RATIO * before,
    `seed ${seed}: served ${after.toFixed(2)} after, ${
      before.toFixed(2)
    } before`,
  );
}

// Guards against an overload that keeps itself up after a restart of everything.
test("after a restart of daemons and upstreams in a burst as much is served as before", () => {
  for (const seed of SEEDS) {
    assertRecovery({
      ...CHAIN_SCENARIO,
      restart: { ...CHAIN_SCENARIO.restart, isWithUpstreams: true },
    }, seed);
  }
});

test("after a restart of all daemons in a burst as much is served as before", () => {
  for (const seed of SEEDS) {
    assertRecovery(CHAIN_SCENARIO, seed);
  }
});
