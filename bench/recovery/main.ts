/** Plays restarts of all daemons under load with several seeds. */
import process from "node:process";
import { CHAIN_SCENARIO } from "./scenario.ts";
import { playRestart } from "./play_restart.ts";

const DEFAULT_SEEDS_COUNT = 10;
const STEP_MS = 2_000;

const seedsCount = Number(process.argv[2] ?? DEFAULT_SEEDS_COUNT);
const factor = Number(process.argv[3] ?? CHAIN_SCENARIO.burst.factor);
const scenario = {
  ...CHAIN_SCENARIO,
  burst: { ...CHAIN_SCENARIO.burst, factor },
  restart: {
    ...CHAIN_SCENARIO.restart,
    isWithUpstreams: process.argv[4] === "upstreams",
  },
};
const names = scenario.routes.filter(({ ratePerS }) => ratePerS > 0)
  .map(({ name }) => name);
for (let seed = 1; seed <= seedsCount; seed++) {
  const counts = playRestart(scenario, seed);
  for (const name of [undefined, ...names]) {
    const shares: string[] = [];
    for (let fromMs = 0; fromMs < scenario.endMs - STEP_MS; fromMs += STEP_MS) {
      const ratio = counts.servedRatio(fromMs, fromMs + STEP_MS, name);
      shares.push(ratio.toFixed(2));
    }
    console.log(`seed ${seed} ${name ?? "all"}: ${shares.join(" ")}`);
  }
}
