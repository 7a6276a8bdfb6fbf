/** Scale benchmark: daemons without traffic in growing numbers. */
import { writeFileSync } from "node:fs";
import process from "node:process";
import { Cli, Command, Option } from "clipanion";
import { measureStep, type ScaleStep } from "./measure.ts";

const DEFAULT_STEPS = ["25", "50", "100"];
const BYTES_PER_MB = 1_048_576;

function printStep(step: ScaleStep): void {
  const { coreRatio, residentBytes, bytesPerS, configMs } = step;
  process.stdout.write(`
${step.daemonsCount} daemons
  control, share of a core   mean ${(coreRatio.mean * 100).toFixed(2)}%, max ${
    (coreRatio.max * 100).toFixed(2)
  }%
  resident memory            mean ${
    (residentBytes.mean / BYTES_PER_MB).toFixed(1)
  } MB, max ${(residentBytes.max / BYTES_PER_MB).toFixed(1)} MB
  control bytes              mean ${bytesPerS.mean.toFixed(0)} B/s, max ${
    bytesPerS.max.toFixed(0)
  } B/s
  platform calls             ${step.platformCallsPerS.toFixed(2)} /s
  accepted to in force       median ${
    configMs.median.toFixed(0)
  } ms, 99 in 100 ${configMs.p99.toFixed(0)} ms, worst ${
    configMs.worst.toFixed(0)
  } ms
  drain seen by the last     ${step.drainMs.toFixed(0)} ms
  kill seen by the last      ${step.killMs.toFixed(0)} ms
`);
}

/** Measures fleets in steps. */
class ScaleCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: "Measures control cost and delays against the fleet's size",
  });

  steps = Option.Array("--step");
  json = Option.String("--json", { description: "Writes all figures to FILE" });

  async execute(): Promise<number> {
    const results: ScaleStep[] = [];
    for (const step of (this.steps ?? DEFAULT_STEPS).map(Number)) {
      const result = await measureStep(step);
      printStep(result);
      results.push(result);
    }
    if (this.json !== undefined) {
      writeFileSync(this.json, `${JSON.stringify(results, null, 1)}\n`);
    }
    return 0;
  }
}

process.exit(
  await Cli.from([ScaleCommand], { binaryName: "bench:scale" })
    .run(process.argv.slice(2), Cli.defaultContext),
);
