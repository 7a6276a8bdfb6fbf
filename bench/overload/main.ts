/** Benchmark of the overload policies with real processes. */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { Cli, Command, Option } from "clipanion";
import { settingsSchema } from "../../src/schemas/settings_schema.ts";
import { plotGoodput } from "../goodput_plot.ts";
import { ASSOCIATION, REGIE, SLOTS_SCALE } from "./deployments.ts";
import { runExperiment } from "./experiment.ts";
import { goodputSeries, type RunSummary, summarise } from "./summary.ts";

const DEPLOYMENTS = [ASSOCIATION, REGIE];
const DEFAULT_SEEDS = ["1"];
const policySchema = settingsSchema.shape.policy.unwrap();

function percent(ratio: number): string {
  return `${(ratio * 100).toFixed(1)}%`;
}

function listRatios(ratios: Readonly<Record<string, number>>): string {
  return Object.entries(ratios)
    .map(([name, ratio]) => `${name} ${percent(ratio)}`)
    .join(", ");
}

function listCounts(counts: Readonly<Record<string, number>>): string {
  return Object.entries(counts)
    .map(([name, count]) => `${name} ${count}`)
    .join(", ");
}

function printSummary(summary: RunSummary): void {
  const failures = Object.entries(summary.failures)
    .map(([stream, kinds]) => `${stream}: ${listCounts(kinds)}`)
    .join("\n                            ");
  process.stdout.write(`
${summary.deployment}, policy ${summary.policy}, seed ${summary.seed}
  succeeded under pressure  ${listRatios(summary.successRatio)}
  slots used for successes  ${listRatios(summary.usefulRatio)}
  slot time wasted          ${percent(summary.wastedRatio)}
  attempts per call         ${summary.attemptsRatio.toFixed(3)}
  recovery                  ${summary.recoveryMs} ms
  wrong answers             ${summary.wrongAnswersCount}
  failed tries              ${failures}
`);
}

/** Plots the first seed of each deployment, one row per policy. */
function writePlots(folder: string, summaries: readonly RunSummary[]): void {
  mkdirSync(folder, { recursive: true });
  for (const { name } of DEPLOYMENTS) {
    const rows = summaries
      .filter(({ deployment }) => deployment === name)
      .filter(({ seed }, _, runs) => seed === runs[0]?.seed)
      .map((summary) => ({
        name: summary.policy,
        goodput: goodputSeries(summary),
      }));
    if (rows.length > 0) {
      const svg = plotGoodput(`${name}: goodput by class, processes`, rows);
      writeFileSync(join(folder, `${name}.svg`), svg);
    }
  }
}

/** Runs each policy on each deployment with the same seeds. */
class OverloadCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: "Compares the overload policies under the same load",
    details: `
      Starts each deployment at 1/${SLOTS_SCALE} of its slots as processes on
      this machine, offers calm load, three times the capacity with a slow deep
      service, and calm load again.
    `,
  });

  deployments = Option.Array("--deployment");
  policies = Option.Array("--policy");
  seeds = Option.Array("--seed");
  svg = Option.String("--svg", { description: "Writes plots to FOLDER" });
  json = Option.String("--json", { description: "Writes all figures to FILE" });

  async execute(): Promise<number> {
    const summaries: RunSummary[] = [];
    const wanted = this.deployments ?? DEPLOYMENTS.map(({ name }) => name);
    const policies = this.policies ?? policySchema.options;
    for (const deployment of DEPLOYMENTS) {
      if (!wanted.includes(deployment.name)) {
        continue;
      }
      for (const seed of (this.seeds ?? DEFAULT_SEEDS).map(Number)) {
        for (const policy of policies.map((it) => policySchema.parse(it))) {
          const run = await runExperiment(deployment, { policy, seed });
          const summary = summarise(run);
          printSummary(summary);
          summaries.push(summary);
        }
      }
    }
    if (this.svg !== undefined) {
      writePlots(this.svg, summaries);
    }
    if (this.json !== undefined) {
      writeFileSync(this.json, `${JSON.stringify(summaries, null, 1)}\n`);
    }
    return 0;
  }
}

process.exit(
  await Cli.from([OverloadCommand], { binaryName: "bench:overload" })
    .run(process.argv.slice(2), Cli.defaultContext),
);
