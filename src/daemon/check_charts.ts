/** Start-up check of the state charts, and the text of input errors. */
import { CHART_NAMES, loadChart } from "../charts/load_chart.ts";
import { InputError } from "../errors/input_error.ts";

/**
 * Checks the structure of every chart file. Unknown guards and actions are
 * reported later, when the module of the class that runs the chart is loaded.
 *
 * @throws {InputError} With the mistakes of the first invalid file.
 */
export function checkCharts(): void {
  for (const name of CHART_NAMES) {
    loadChart(name);
  }
}

/**
 * Formats an input error at start-up for the operator.
 *
 * @param error Thrown value.
 * @returns One line for each mistake; undefined for an unexpected error.
 */
export function inputErrorText(error: unknown): string | undefined {
  return error instanceof InputError ? error.message : undefined;
}
