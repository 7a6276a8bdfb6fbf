/** Check of all state charts at the start of the daemon. */
import {
  CHART_NAMES,
  type ChartName,
  loadChart,
} from "../charts/load_chart.ts";
import { InputError } from "../errors/input_error.ts";

// Charts of parts that have not landed yet.
const PENDING: ReadonlySet<ChartName> = new Set([
  "member",
]);

/** Charts of the parts that are there. */
export const CHECKED_CHARTS: readonly ChartName[] = CHART_NAMES.filter(
  (name) => !PENDING.has(name),
);

/**
 * Checks the structure of every chart file. Unknown guards and actions are
 * found when the module of the class that runs the chart is loaded.
 *
 * @throws {InputError} With the mistakes of the first faulty file.
 */
export function checkCharts(): void {
  for (const name of CHECKED_CHARTS) {
    loadChart(name);
  }
}

/**
 * Turns an error at start-up into lines for the operator.
 *
 * @param error Thrown value.
 * @returns One line for each mistake; undefined for an unexpected error.
 */
export function startMistakes(error: unknown): string | undefined {
  return error instanceof InputError ? error.message : undefined;
}
