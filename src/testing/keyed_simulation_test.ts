import assert from "node:assert/strict";
import { test } from "node:test";
import type { KeyedSimulationRules } from "./keyed_simulation_result.ts";
import { KeyedSimulation } from "./keyed_simulation.ts";

const ALL_RULES = { ownership: true, fence: true, recheck: true };
const KEYS_COUNT = 12_000;

function run(seed: number, rules: Partial<KeyedSimulationRules> = {}) {
  const result = new KeyedSimulation({
    seed,
    keysCount: KEYS_COUNT,
    rules: { ...ALL_RULES, ...rules },
  }).run();
  console.log(JSON.stringify({ seed, ...rules, ...result }));
  return result;
}

// Guards against a second effect of a key whose owner was killed, replaced,
// frozen or cut off while the request was retried.
for (const seed of [1, 2, 3]) {
  test(`no key of ${KEYS_COUNT} has two effects while owners are killed, frozen and cut off, seed ${seed}`, () => {
    const result = run(seed);
    assert.equal(result.repeatedCount, 0);
    assert.ok(result.onceCount > KEYS_COUNT / 2);
  });
}

// The run with seed 1 must show second effects when a rule is left out; otherwise
// the test above could pass because the simulation produced no failures.
for (const rule of ["ownership", "fence"] as const) {
  test(`keys have two effects without the rule "${rule}"`, () => {
    assert.ok(run(1, { [rule]: false }).repeatedCount > 0);
  });
}
