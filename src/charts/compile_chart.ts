/** Compiles a checked state chart into a transition table. */
import { InputError, type InputMistake } from "../errors/input_error.ts";
import type {
  Chart,
  ChartState,
  ChartTransition,
} from "../schemas/chart_schema.ts";

/** Object whose methods are the guards and actions of a chart, by name. */
// deno-lint-ignore no-explicit-any -- guards and actions take the data that their events carry
export type ChartMethods = Record<string, any>;

/** A transition whose target state is resolved to an index. */
export type CompiledTransition = {
  readonly targetIndex: number;
  readonly guard: string | undefined;
  readonly actions: readonly string[];
};

/** Transition table of a chart. */
export type CompiledChart = {
  readonly name: string;
  readonly stateNames: readonly string[];
  readonly eventNames: readonly string[];
  readonly eventIndex: ReadonlyMap<string, number>;
  readonly initialIndex: number;
  readonly finalStates: readonly boolean[];
  /**
   * Transitions at `stateIndex * eventNames.length + eventIndex`, in the order
   * in which their guards are tried.
   */
  readonly table: readonly (readonly CompiledTransition[])[];
};

/** Options of {@link compileChart}. */
export type CompileChartOptions = {
  /** File name for error messages. */
  source: string;
  /** Prototype of the class that implements guards and actions. */
  methods?: ChartMethods;
  /** Finds the line and column of a path such as `states.open.on.close`. */
  locate?: (path: string) => { line: number; column: number };
};

function listTransitions(state: ChartState, event: string): ChartTransition[] {
  const entry = state.on[event];
  if (entry === undefined) {
    return [];
  }
  return Array.isArray(entry) ? entry : [entry];
}

function listTargets(chart: Chart, stateName: string): string[] {
  const state = chart.states[stateName];
  if (state === undefined) {
    return [];
  }
  return Object.keys(state.on)
    .flatMap((event) => listTransitions(state, event))
    .map((transition) => transition.target ?? stateName);
}

function listReachable(chart: Chart): Set<string> {
  const reached = new Set<string>();
  const pending = [chart.initial];
  while (pending.length > 0) {
    const name = pending.pop() as string;
    if (reached.has(name)) {
      continue;
    }
    reached.add(name);
    pending.push(...listTargets(chart, name));
  }
  return reached;
}

function checkTransition(
  chart: Chart,
  transition: ChartTransition,
  methods: ChartMethods | undefined,
): string[] {
  const messages: string[] = [];
  const { target, guard, actions } = transition;
  if (target !== undefined && chart.states[target] === undefined) {
    messages.push(`Unknown target state "${target}"`);
  }
  if (methods === undefined) {
    return messages;
  }
  for (const name of guard === undefined ? actions : [guard, ...actions]) {
    if (typeof methods[name] !== "function") {
      messages.push(`Unknown guard or action "${name}"`);
    }
  }
  return messages;
}

function checkState(
  chart: Chart,
  stateName: string,
  options: CompileChartOptions,
): InputMistake[] {
  const state = chart.states[stateName] as ChartState;
  const mistakes: InputMistake[] = [];
  const report = (path: string, message: string) =>
    mistakes.push({ source: options.source, path, message });
  const handledOrIgnored = [...Object.keys(state.on), ...state.ignore];
  for (
    const event of handledOrIgnored.filter((name) =>
      !chart.events.includes(name)
    )
  ) {
    report(`states.${stateName}`, `Unknown event "${event}"`);
  }
  const missing = chart.events.filter((name) =>
    !handledOrIgnored.includes(name)
  );
  if (state.final !== true && missing.length > 0) {
    report(
      `states.${stateName}`,
      `Neither handles nor ignores ${missing.join(", ")}`,
    );
  }
  for (const event of Object.keys(state.on)) {
    for (const transition of listTransitions(state, event)) {
      for (
        const message of checkTransition(chart, transition, options.methods)
      ) {
        report(`states.${stateName}.on.${event}`, message);
      }
    }
  }
  return mistakes;
}

function checkChart(
  chart: Chart,
  options: CompileChartOptions,
): InputMistake[] {
  const { source } = options;
  if (chart.states[chart.initial] === undefined) {
    const message = `Unknown initial state "${chart.initial}"`;
    return [{ source, path: "initial", message }];
  }
  const stateNames = Object.keys(chart.states);
  const reachable = listReachable(chart);
  const unreachable = stateNames
    .filter((name) => !reachable.has(name))
    .map((name) => ({
      source,
      path: `states.${name}`,
      message: "State cannot be reached",
    }));
  return [
    ...unreachable,
    ...stateNames.flatMap((name) => checkState(chart, name, options)),
  ];
}

/** Compiles the table cell of a state and an event. */
function compileCell(
  chart: Chart,
  stateNames: string[],
  cell: { stateName: string; event: string },
): CompiledTransition[] {
  const state = chart.states[cell.stateName] as ChartState;
  return listTransitions(state, cell.event).map((transition) => ({
    targetIndex: stateNames.indexOf(transition.target ?? cell.stateName),
    guard: transition.guard,
    actions: transition.actions,
  }));
}

/**
 * Checks a chart and compiles it into a transition table.
 *
 * @param chart Chart that satisfies the chart schema.
 * @param options File name and the methods that implement guards and actions.
 * @returns Transition table.
 * @throws {InputError} On an unknown state, event, guard or action, an
 * unreachable state, or an event that a non-final state neither handles nor
 * ignores.
 *
 * @example
 * compileChart(chart, { source: "charts/lease.jsonc", methods: LeaseHolder.prototype });
 */
export function compileChart(
  chart: Chart,
  options: CompileChartOptions,
): CompiledChart {
  const mistakes = checkChart(chart, options);
  if (mistakes.length > 0) {
    throw new InputError(
      mistakes.map((mistake) => ({
        ...mistake,
        ...options.locate?.(mistake.path),
      })),
    );
  }
  const stateNames = Object.keys(chart.states);
  const table = stateNames.flatMap((stateName) =>
    chart.events.map((event) =>
      compileCell(chart, stateNames, { stateName, event })
    )
  );
  return {
    name: chart.name,
    stateNames,
    eventNames: chart.events,
    eventIndex: new Map(chart.events.map((name, index) => [name, index])),
    initialIndex: stateNames.indexOf(chart.initial),
    finalStates: stateNames.map((name) => chart.states[name]?.final === true),
    table,
  };
}
