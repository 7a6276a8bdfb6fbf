/** Hop benchmark: compares two daemons, two bare proxies and direct calls. */
import { writeFileSync } from "node:fs";
import { loadavg } from "node:os";
import process from "node:process";
import { Cli, Command, Option } from "clipanion";
import {
  ProgramGroup,
  type StartedProgram,
} from "../../stand_ins/program_group.ts";
import { type Figures, Measurement } from "./measure.ts";
import { compare, formatComparison, formatFigures } from "./report.ts";
import { startVariants, type Variant } from "./variants.ts";

const LOADERS_COUNT = 2;
const WARM_UP = { ratePerS: 1_000, durationMs: 4_000, seed: 1 } as const;
// A variant above either limit is saturated: the share of failed calls, or the
// median latency.
const SATURATED_FAILED_RATIO = 0.01;
const SATURATED_P50_MS = 100;
const MEASURED_SEED = 1_000;

type Bench = {
  readonly variants: readonly Variant[];
  readonly loaders: readonly StartedProgram[];
  readonly roundsCount: number;
  readonly roundMs: number;
};

function isSaturated(figures: Figures): boolean {
  return figures.failedCount > figures.sentCount * SATURATED_FAILED_RATIO ||
    figures.latencyMs.p50 > SATURATED_P50_MS;
}

async function warmUp(bench: Bench): Promise<void> {
  for (const variant of bench.variants) {
    await new Measurement(variant, bench.loaders, WARM_UP.ratePerS)
      .runRound(WARM_UP);
  }
}

/**
 * Measures all variants at one rate, one after the other in each round. Each
 * round starts with another variant.
 */
async function measureRate(bench: Bench, ratePerS: number): Promise<Figures[]> {
  const measurements = bench.variants.map((variant) =>
    new Measurement(variant, bench.loaders, ratePerS)
  );
  for (let round = 0; round < bench.roundsCount; round++) {
    const first = round % measurements.length;
    const order = [
      ...measurements.slice(first),
      ...measurements.slice(0, first),
    ];
    for (const measurement of order) {
      await measurement.runRound({
        durationMs: bench.roundMs,
        seed: MEASURED_SEED + round * LOADERS_COUNT,
      });
    }
  }
  return measurements.map((measurement) => measurement.figures());
}

async function startLoaders(programs: ProgramGroup): Promise<StartedProgram[]> {
  const loaders: StartedProgram[] = [];
  for (let index = 0; index < LOADERS_COUNT; index++) {
    loaders.push(await programs.start("bench/hop/load_process.js", []));
  }
  return loaders;
}

class HopBench extends Command {
  static override paths = [Command.Default];
  json = Option.String("--json", { description: "File for the figures" });
  rates = Option.String("--rates", "250,500,1000,2000,3000,4000,6000,8000", {
    description: "Calls per second, rising; stops at saturation",
  });
  rounds = Option.String("--rounds", "5", {
    description: "Rounds for each rate",
  });
  roundMs = Option.String("--round-ms", "4000", {
    description: "Length of one round of one variant, in ms",
  });

  async execute(): Promise<number> {
    const programs = new ProgramGroup();
    try {
      const bench = {
        variants: await startVariants(programs),
        loaders: await startLoaders(programs),
        roundsCount: Number(this.rounds),
        roundMs: Number(this.roundMs),
      };
      await this.#measure(bench);
      return 0;
    } finally {
      await programs.stop();
    }
  }

  async #measure(bench: Bench): Promise<void> {
    await warmUp(bench);
    const all: Figures[] = [];
    const comparisons = [];
    for (const ratePerS of this.rates.split(",").map(Number)) {
      const atRate = await measureRate(bench, ratePerS);
      all.push(...atRate);
      comparisons.push(compare(atRate));
      this.context.stderr.write(`${formatComparison(compare(atRate))}\n`);
      const daemons = atRate.find(({ variant }) => variant === "daemons");
      if (daemons !== undefined && isSaturated(daemons)) {
        break;
      }
    }
    const load = loadavg().map((value) => value.toFixed(1)).join(" ");
    this.context.stdout.write(`${formatFigures(all)}\n`);
    this.context.stdout.write(`load average at the end: ${load}\n`);
    if (this.json !== undefined) {
      const report = { figures: all, comparisons, loadAverage: loadavg() };
      writeFileSync(this.json, `${JSON.stringify(report, null, 2)}\n`);
    }
  }
}

const cli = new Cli({ binaryName: "npm run bench:hop --" });
cli.register(HopBench);
process.exit(await cli.run(process.argv.slice(2)));
