/** State charts as Mermaid diagrams. */
import type { Chart, ChartTransition } from "../schemas/chart_schema.ts";

function describe(event: string, transition: ChartTransition): string {
  const guard = transition.guard === undefined ? "" : ` [${transition.guard}]`;
  const actions = transition.actions.length === 0
    ? ""
    : ` / ${transition.actions.join(", ")}`;
  return `${event}${guard}${actions}`;
}

function stateLines(chart: Chart, name: string): string[] {
  const state = chart.states[name];
  if (state === undefined || state.final === true) {
    return [`  ${name} --> [*]`];
  }
  return Object.entries(state.on).flatMap(([event, cell]) =>
    (Array.isArray(cell) ? cell : [cell]).map((transition) => {
      const target = transition.target ?? name;
      return `  ${name} --> ${target}: ${describe(event, transition)}`;
    })
  );
}

/**
 * Draws a chart.
 *
 * @param chart Chart of a life cycle.
 * @returns Fenced Mermaid block.
 */
export function chartDiagram(chart: Chart): string {
  return [
    "```mermaid",
    "stateDiagram-v2",
    `  [*] --> ${chart.initial}`,
    ...Object.keys(chart.states).flatMap((name) => stateLines(chart, name)),
    "```",
  ].join("\n");
}
