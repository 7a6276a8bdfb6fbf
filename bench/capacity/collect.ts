/**
 * Collects the JSON reports of the benchmarks in docs/capacity/slopes.json.
 * Each report is given as NAME=FILE, for example `scale=/tmp/scale.json`;
 * benchmarks without a report keep their values.
 */
import { readFileSync, statSync, writeFileSync } from "node:fs";
import { availableParallelism, loadavg } from "node:os";
import process from "node:process";
import { Cli, Command, Option } from "clipanion";
import { fitWithError } from "./fit_line.ts";
import { SLOPES_FILE } from "./paths.ts";
import { slopesSchema } from "./slopes_schema.ts";

// deno-lint-ignore no-explicit-any -- the slopes schema checks the result
type Json = any;

const COMMANDS: Readonly<Record<string, string>> = {
  scale: "npm run bench:scale",
  membership: "npm run bench:membership",
  config: "npm run bench:config",
  hop: "npm run bench:hop",
};

function fitsOf(
  rows: Json[],
  x: string,
  pick: Record<string, (row: Json) => number>,
) {
  return Object.fromEntries(
    Object.entries(pick).map(([name, read]) => [
      name,
      fitWithError(rows.map((row) => [row[x], read(row)] as const)),
    ]),
  );
}

function fieldsOf(...names: string[]): Record<string, (row: Json) => number> {
  return Object.fromEntries(names.map((name) => [name, (row) => row[name]]));
}

const READERS: Readonly<Record<string, (file: Json) => object>> = {
  scale: (steps) => ({
    steps,
    perDaemon: fitsOf(steps, "daemonsCount", {
      coreRatio: (step) => step.coreRatio.mean,
      bytesPerS: (step) => step.bytesPerS.mean,
      addedBytes: (step) => step.usedBytes.mean - step.offUsedBytes,
      residentBytes: (step) => step.residentBytes.mean,
      configWorstMs: (step) => step.configMs.worst,
      ...fieldsOf("platformReadsPerS", "platformWritesPerS"),
    }),
  }),
  membership: ({ records, fleets }) => ({
    records,
    fleets,
    recordBytes: fitsOf(records, "membersCount", fieldsOf("recordsBytes"))
      .recordsBytes,
  }),
  config: ({ sizes, comparison }) => ({
    sizes,
    compareBytes: comparison.compareBytes,
    perRoute: fitsOf(
      sizes,
      "routesCount",
      fieldsOf(
        "routesTableBytes",
        "poolsTableBytes",
        "acceptCpuMs",
        "stepApplyCpuMs",
        "copyBytes",
        "copyHeapBytes",
        "copyReceiveCpuMs",
      ),
    ),
  }),
  hop: ({ comparisons }) => ({ rates: comparisons }),
};

function loadAverageOf(name: string, content: Json): number {
  const reported = name === "scale"
    ? Math.max(...content.map((step: Json) => step.loadAverage))
    : content.loadAverage?.[0];
  return reported ?? loadavg()[0] as number;
}

class CollectCommand extends Command {
  static override paths = [Command.Default];
  commit = Option.String("--commit", {
    required: true,
    description: "Commit that was measured",
  });
  files = Option.Rest({ name: "NAME=FILE" });

  async execute(): Promise<number> {
    const values = this.#readSlopes();
    for (const argument of this.files) {
      const [name = "", file = ""] = argument.split("=", 2);
      const read = READERS[name];
      if (read === undefined) {
        this.context.stderr.write(`Unknown benchmark "${name}"\n`);
        return 2;
      }
      const content = JSON.parse(readFileSync(file, "utf8"));
      const run = {
        command: COMMANDS[name],
        date: statSync(file).mtime.toISOString().slice(0, 10),
        loadAverage: Number(loadAverageOf(name, content).toFixed(1)),
        processorsCount: availableParallelism(),
        commit: this.commit,
      };
      values[name] = { run, ...read(content) };
    }
    const slopes = slopesSchema.parse(values);
    writeFileSync(SLOPES_FILE, `${JSON.stringify(slopes, undefined, 2)}\n`);
    return 0;
  }

  #readSlopes(): Json {
    try {
      return JSON.parse(readFileSync(SLOPES_FILE, "utf8"));
    } catch {
      return {}; // The file does not exist before the first collection.
    }
  }
}

const cli = new Cli({ binaryName: "collect" });
cli.register(CollectCommand);
process.exit(await cli.run(process.argv.slice(2)));
