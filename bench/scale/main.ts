/** Scale benchmark: daemons without traffic in growing numbers. */
import { writeFileSync } from "node:fs";
import process from "node:process";
import { Cli, Command, Option } from "clipanion";
import { measureStep, type ScaleStep } from "./measure.ts";
import type { Delays, Spread } from "./spread.ts";

const DEFAULT_STEPS = ["25", "50", "100"];
const BYTES_PER_MB = 1_048_576;
const TITLE_WIDTH = 22;

function percent(ratio: number): string {
  return `${(ratio * 100).toFixed(2)}%`;
}

function megabytes(bytes: number): string {
  return `${(bytes / BYTES_PER_MB).toFixed(1)} MB`;
}

function delaysText({ median, p99, worst }: Delays): string {
  const [middle, high, last] = [median, p99, worst]
    .map((valueMs) => valueMs.toFixed(0));
  return `median ${middle} ms, 99 in 100 ${high} ms, worst ${last} ms`;
}

function spreadText(
  { mean, max }: Spread,
  format: (value: number) => string,
): string {
  return `mean ${format(mean)}, max ${format(max)}`;
}

function printStep(step: ScaleStep): void {
  const rate = (bytesPerS: number) => `${bytesPerS.toFixed(0)} B/s`;
  const lines = [
    ["share of a core", spreadText(step.coreRatio, percent)],
    ["  with control off", percent(step.offCoreRatio)],
    ["bytes received", spreadText(step.receivedBytesPerS, rate)],
    ["bytes sent", spreadText(step.sentBytesPerS, rate)],
    ["resident memory", spreadText(step.residentBytes, megabytes)],
    ["heap and external", spreadText(step.usedBytes, megabytes)],
    ["  with control off", megabytes(step.offUsedBytes)],
    [
      "platform",
      `${step.platformReadsPerS.toFixed(2)} reads/s, ` +
      `${step.platformWritesPerS.toFixed(2)} writes/s, ` +
      `${step.waitingWatchesCount} waiting watches`,
    ],
    ["accepted to in force", delaysText(step.configMs)],
    ["drain to the last", delaysText(step.drainMs)],
    ["kill to the last", delaysText(step.killMs)],
    ["load average", step.loadAverage.toFixed(1)],
  ];
  const text = lines.map(([title = "", value]) =>
    `  ${title.padEnd(TITLE_WIDTH)}${value}\n`
  );
  process.stdout.write(`${step.daemonsCount} daemons\n${text.join("")}`);
}

/** Measures one fleet per step. */
class ScaleCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: "Measures control cost and delays against the fleet's size",
  });

  steps = Option.Array("--step", {
    description: "Daemons of a step, repeatable; default 25, 50 and 100",
  });
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
