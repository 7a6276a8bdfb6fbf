/**
 * Plays restarts of all daemons in a burst and prints the served share:
 * `npm run bench:recovery -- [--seeds N] [--factor X] [--upstreams]`.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { z } from "zod";
import { playRestart } from "./play_restart.ts";
import { CHAIN_SCENARIO, type Scenario } from "./scenario.ts";

const STEP_MS = 2_000;

const optionsSchema = z.object({
  seeds: z.coerce.number().int().min(1).describe("Number of seeds"),
  factor: z.coerce.number().positive().describe("Load during the burst"),
  upstreams: z.boolean().describe("Whether the upstreams restart too"),
});

function readOptions(args: string[]): z.infer<typeof optionsSchema> {
  const { values } = parseArgs({
    args,
    options: {
      seeds: { type: "string", default: "10" },
      factor: { type: "string", default: String(CHAIN_SCENARIO.burst.factor) },
      upstreams: { type: "boolean", default: false },
    },
  });
  return optionsSchema.parse(values);
}

/** Prints a line for all requests and one for each route of callers. */
function printRun(scenario: Scenario, seed: number): void {
  const counts = playRestart(scenario, seed);
  const names = scenario.routes.filter(({ ratePerS }) => ratePerS > 0)
    .map(({ name }) => name);
  for (const name of [undefined, ...names]) {
    const shares: string[] = [];
    for (let fromMs = 0; fromMs < scenario.endMs - STEP_MS; fromMs += STEP_MS) {
      const ratio = counts.servedRatio(fromMs, fromMs + STEP_MS, name);
      shares.push(ratio.toFixed(2));
    }
    console.log(`seed ${seed} ${name ?? "all"}: ${shares.join(" ")}`);
  }
}

const { seeds, factor, upstreams } = readOptions(process.argv.slice(2));
const scenario: Scenario = {
  ...CHAIN_SCENARIO,
  burst: { ...CHAIN_SCENARIO.burst, factor },
  restart: { ...CHAIN_SCENARIO.restart, isWithUpstreams: upstreams },
};
for (let seed = 1; seed <= seeds; seed++) {
  printRun(scenario, seed);
}
