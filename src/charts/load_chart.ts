/** Loads state charts from the `charts/` folder. */
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { chartSchema } from "../schemas/chart_schema.ts";
import { locateJsonc } from "../schemas/locate_jsonc.ts";
import { parseJsonc } from "../schemas/parse_jsonc.ts";
import {
  type ChartMethods,
  compileChart,
  type CompiledChart,
} from "./compile_chart.ts";
import type { Chart } from "../schemas/chart_schema.ts";

// Relative to dist/src/charts, where compiled modules are, and to src/charts.
const CHART_FOLDERS = ["../../../charts/", "../../charts/"];

/** Names of the chart files in `charts/`, without their extension. */
export const CHART_NAMES = [
  "inbound_request",
  "outbound_request",
  "keyed_request",
  "upstream",
  "ejection",
  "member",
  "drain",
  "configuration",
  "lease",
  "daemon",
  "forwarded_request",
  "served_request",
  "local_upstream",
  "link",
  "fleet_daemon",
  "object_watch",
] as const;

/** One of {@link CHART_NAMES}. */
export type ChartName = typeof CHART_NAMES[number];

function readChartText(name: ChartName): string {
  for (const folder of CHART_FOLDERS) {
    const path = fileURLToPath(
      new URL(`${folder}${name}.jsonc`, import.meta.url),
    );
    try {
      return readFileSync(path, "utf8");
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== "ENOENT") {
        throw error;
      }
    }
  }
  throw new Error(`Chart file "${name}.jsonc" does not exist`);
}

/**
 * Reads a chart file and checks it against the chart schema.
 *
 * @param name Chart name.
 * @returns The parsed chart.
 * @throws {InputError} On a mistake in the file.
 */
export function readChart(name: ChartName): Chart {
  const source = `charts/${name}.jsonc`;
  return parseJsonc(readChartText(name), chartSchema, { source });
}

/**
 * Reads, checks and compiles a chart.
 *
 * @param name Chart name.
 * @param methods Prototype of the class that implements guards and actions;
 *   without it their names are not checked.
 * @returns Transition table.
 * @throws {InputError} On a mistake in the file or an unknown method.
 *
 * @example
 * const LEASE_CHART = loadChart("lease", LeaseHolder.prototype);
 */
export function loadChart(
  name: ChartName,
  methods?: object,
): CompiledChart {
  const text = readChartText(name);
  const source = `charts/${name}.jsonc`;
  return compileChart(parseJsonc(text, chartSchema, { source }), {
    source,
    methods: methods as ChartMethods | undefined,
    locate: (path) => locateJsonc(text, path.split(".")),
  });
}
