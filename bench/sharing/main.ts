/**
 * Plays the load of a deployment on its bottleneck pool and prints what callers
 * get: `npm run bench:sharing -- [--scenario heating] [--seeds N] [--load X]
 * [--uncoordinated] [--lossAtMs T] [--trace]`.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { z } from "zod";
import { type BottleneckFleet, playBottleneck } from "./bottleneck_fleet.ts";
import {
  type BottleneckScenario,
  CONVERSION_SCENARIO,
  HEATING_SCENARIO,
} from "./bottleneck_scenario.ts";

const MEASURED_FROM_MS = 6_000;
const END_MS = 32_000;
const TRACE_STEP_MS = 500;

const SCENARIOS = {
  conversion: CONVERSION_SCENARIO,
  heating: HEATING_SCENARIO,
};

const optionsSchema = z.object({
  scenario: z.enum(["conversion", "heating"]),
  seeds: z.coerce.number().int().min(1).describe("Number of seeds"),
  load: z.coerce.number().positive().describe("Load relative to the mean"),
  uncoordinated: z.boolean()
    .describe("Whether levels follow the busy ratio alone"),
  lossAtMs: z.coerce.number().optional()
    .describe("Time at which the fastest upstream is lost"),
  trace: z.boolean().describe("Whether levels and queues are printed"),
});

function readOptions(args: string[]): z.infer<typeof optionsSchema> {
  const { values } = parseArgs({
    args,
    options: {
      scenario: { type: "string", default: "conversion" },
      seeds: { type: "string", default: "1" },
      load: { type: "string", default: "1" },
      uncoordinated: { type: "boolean", default: false },
      lossAtMs: { type: "string" },
      trace: { type: "boolean", default: false },
    },
  });
  return optionsSchema.parse(values);
}

function printTrace(scenario: BottleneckScenario, fleet: BottleneckFleet) {
  if (Math.round(fleet.nowMs) % TRACE_STEP_MS !== 0) {
    return;
  }
  const levels = fleet.instances
    .map(({ daemon }) => daemon.admissionLevel(scenario.bottleneck))
    .filter((level) => level !== undefined)
    .sort((a, b) => a - b);
  const gates = fleet.instances
    .filter(({ pool }) => pool === scenario.bottleneck)
    .map(({ daemon: { gate } }) =>
      `${gate.runningCount}+${gate.waitingCount}/${gate.limitCount}`
    );
  const at = (ratio: number) =>
    levels[Math.floor(ratio * (levels.length - 1))]?.toFixed(2);
  console.log(
    `${fleet.nowMs} ms: levels ${at(0)} ${at(0.5)} ${at(1)}, running+waiting ` +
      gates.join(" "),
  );
}

const { seeds, load, trace, ...options } = readOptions(process.argv.slice(2));
const scenario = SCENARIOS[options.scenario];
const routes = scenario.routes.filter(({ ratePerS }) => ratePerS > 0);
for (let seed = 1; seed <= seeds; seed++) {
  const results = playBottleneck({
    scenario,
    seed,
    loadRatio: load,
    measuredFromMs: MEASURED_FROM_MS,
    endMs: END_MS,
    lossAtMs: options.lossAtMs,
    isUncoordinated: options.uncoordinated,
    ...(trace ? { onStep: (fleet) => printTrace(scenario, fleet) } : {}),
  });
  console.log(`seed ${seed}: value ${results.valueRatio(routes).toFixed(3)}`);
  for (const route of routes) {
    const counts = results.of(route.name);
    const shares = Object.entries(counts)
      .filter(([field]) => field !== "offered")
      .map(([field, count]) =>
        `${field} ${(count / counts.offered).toFixed(3)}`
      );
    const value = results.valueRatio([route]).toFixed(3);
    console.log(`  ${route.name}: value ${value}, ${shares.join(", ")}`);
  }
}
