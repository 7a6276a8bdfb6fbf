/** Formats state charts as diagrams. */
import type { Chart, ChartTransition } from "../schemas/chart_schema.ts";

/** Arrow of a diagram. A transition without a target stays in its state. */
type Arrow = { from: string; to: string; label: string };

function labelOf(event: string, { guard, actions }: ChartTransition): string {
  const condition = guard === undefined ? "" : ` [${guard}]`;
  const effects = actions.length === 0 ? "" : ` / ${actions.join(", ")}`;
  return `${event}${condition}${effects}`;
}

function listArrows(chart: Chart): Arrow[] {
  return Object.entries(chart.states).flatMap(([from, state]) =>
    Object.entries(state.on).flatMap(([event, entry]) =>
      [entry].flat().map((transition) => ({
        from,
        to: transition.target ?? from,
        label: labelOf(event, transition),
      }))
    )
  );
}

function listFinalStates(chart: Chart): string[] {
  return Object.entries(chart.states)
    .filter(([, state]) => state.final === true)
    .map(([name]) => name);
}

/**
 * Formats a chart as a Mermaid diagram.
 *
 * @param chart Parsed chart.
 * @returns Lines of a `stateDiagram-v2`.
 */
export function formatMermaid(chart: Chart): string[] {
  return [
    "stateDiagram-v2",
    `  [*] --> ${chart.initial}`,
    ...listArrows(chart).map(({ from, to, label }) =>
      `  ${from} --> ${to}: ${label}`
    ),
    ...listFinalStates(chart).map((name) => `  ${name} --> [*]`),
  ];
}

/**
 * Formats a chart as plain text: each state, followed by its transitions.
 *
 * @param chart Parsed chart.
 * @returns Lines of text.
 */
export function formatPlainText(chart: Chart): string[] {
  const arrows = listArrows(chart);
  const finals = listFinalStates(chart);
  const states = Object.keys(chart.states).flatMap((name) => {
    const marks = [
      ...(name === chart.initial ? ["initial"] : []),
      ...(finals.includes(name) ? ["final"] : []),
    ];
    const mark = marks.length === 0 ? "" : ` (${marks.join(", ")})`;
    return [
      `${name}${mark}`,
      ...arrows.filter(({ from }) => from === name)
        .map(({ to, label }) => `  ${label} -> ${to}`),
    ];
  });
  return [`${chart.name}: ${chart.description}`, "", ...states];
}
