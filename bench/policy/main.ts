/**
 * Compares overload policies under a virtual clock:
 * `npm run bench:policy -- [--seeds N] [--scenario NAME,...] [--json FILE]
 * [--policies NAME,...] [--svg FOLDER] [--details]`.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import { CallGraph } from "./call_graph.ts";
import { Clients } from "./clients.ts";
import { plotGoodput } from "../goodput_plot.ts";
import {
  type BenchPolicy,
  FixedPolicy,
  RankPolicy,
  UnlimitedPolicy,
} from "./policies.ts";
import { goodputSeries, reportRun, type RunReport } from "./report.ts";
import { readScenario, type Scenario } from "./scenario.ts";

const SCENARIO_FOLDER = "bench/policy/scenarios";
const FIGURES = [
  ["criticalRatio", ">= 0.99"],
  ["goodputRatio", ">= 0.9"],
  ["goodputLowestRatio", ""],
  ["wastedRatio", "<= 0.05"],
  ["recoveryMs", "<= 5000"],
  ["amplificationRatio", "<= 1.1"],
] as const;

type PolicyReports = { name: string; reports: RunReport[] };

function runOnce(
  scenario: Scenario,
  policy: BenchPolicy,
  seed: number,
): RunReport {
  const graph = new CallGraph(scenario, policy, { seed });
  new Clients(graph, { seed }).start();
  graph.events.runUntil(scenario.endMs + 10_000);
  return reportRun(scenario, graph.metrics);
}

function range(values: number[]): string {
  const digits = (value: number) =>
    value >= 100 ? value.toFixed(0) : value.toFixed(3);
  const [low, high] = [Math.min(...values), Math.max(...values)];
  return low === high ? digits(low) : `${digits(low)}..${digits(high)}`;
}

function printTable(scenario: Scenario, results: PolicyReports[]): void {
  console.log(`\n${scenario.name} (lowest..highest over the seeds)`);
  const cell = (text: string) => text.padEnd(18);
  const head = ["figure", "target", ...results.map(({ name }) => name)];
  console.log(head.map(cell).join(""));
  for (const [figure, target] of FIGURES) {
    const cells = results.map(({ reports }) =>
      range(reports.map((report) => report[figure]))
    );
    console.log([figure, target, ...cells].map(cell).join(""));
  }
}

function printDetails({ name, reports }: PolicyReports): void {
  const [{ routes, pools, errors }] = reports as [RunReport];
  console.log(name, JSON.stringify({ routes, pools, errors }, null, 1));
}

function runScenario(scenario: Scenario, seeds: number[]): PolicyReports[] {
  const preferences = [0, scenario.overloadPreference, 1];
  const policies = [
    new UnlimitedPolicy(),
    new FixedPolicy(),
    ...preferences.map((preference) => new RankPolicy(preference)),
  ];
  const wanted = values.policies.split(",").filter((name) => name !== "");
  const selected = policies.filter(({ name }) =>
    wanted.length === 0 || wanted.includes(name)
  );
  return selected.map((policy) => ({
    name: policy.name,
    reports: seeds.map((seed) => runOnce(scenario, policy, seed)),
  }));
}

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "3" },
    policies: { type: "string", default: "" },
    scenario: { type: "string", default: "association,regie" },
    json: { type: "string" },
    svg: { type: "string" },
    details: { type: "boolean", default: false },
  },
});
const seeds = Array.from({ length: Number(values.seeds) }, (_, i) => i + 1);
const all: Record<string, PolicyReports[]> = {};
for (const name of values.scenario.split(",")) {
  const scenario = readScenario(join(SCENARIO_FOLDER, `${name}.jsonc`));
  const results = runScenario(scenario, seeds);
  all[name] = results;
  printTable(scenario, results);
  if (values.details) {
    results.forEach(printDetails);
  }
  if (values.svg !== undefined) {
    mkdirSync(values.svg, { recursive: true });
    const rows = results.map(({ name: policy, reports: [report] }) => ({
      name: policy,
      goodput: goodputSeries(report as RunReport),
    }));
    const svg = plotGoodput(`${name}: goodput by class`, rows);
    writeFileSync(join(values.svg, `${name}.svg`), svg);
  }
}
if (values.json !== undefined) {
  writeFileSync(values.json, JSON.stringify({ seeds, results: all }, null, 1));
}
process.exitCode = 0;
