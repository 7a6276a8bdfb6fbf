/** Check of all state charts at the start of the daemon. */
import { CHART_NAMES, loadChart } from "../charts/load_chart.ts";
import { InputError } from "../errors/input_error.ts";

/**
 * Checks the structure of every chart file. Unknown guards and actions are
 * found when the module of the class that runs the chart is loaded.
 *
 * @throws {InputError} With the mistakes of the first faulty file.
 */
export function checkCharts(): void {
  for (const name of CHART_NAMES) {
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
