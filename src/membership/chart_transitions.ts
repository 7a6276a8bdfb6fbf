/**
 * Selects and runs the transitions of a chart for many records. A record stores
 * only the index of its state, instead of a state machine of its own.
 */
import type {
  ChartMethods,
  CompiledChart,
  CompiledTransition,
} from "../charts/compile_chart.ts";

/** Event of one record, with the guards that select the transition. */
export type ChartEvent = {
  /** Name of the event in the chart. */
  name: string;
  /** Object whose methods are the guards. */
  methods: object;
  /** Argument of the guards. */
  data: unknown;
};

/**
 * Selects the first transition of an event whose guard holds. The caller
 * stores the target and then calls {@link runActions}.
 *
 * @param chart Compiled chart.
 * @param stateIndex Index of the record's current state.
 * @param event Event, guards and their argument.
 * @returns The transition, or undefined when no guard holds.
 */
export function selectTransition(
  chart: CompiledChart,
  stateIndex: number,
  event: ChartEvent,
): CompiledTransition | undefined {
  const eventIndex = chart.eventIndex.get(event.name) as number;
  const cell = stateIndex * chart.eventNames.length + eventIndex;
  const methods = event.methods as ChartMethods;
  return chart.table[cell]?.find(({ guard }) =>
    guard === undefined || methods[guard](event.data)
  );
}

/**
 * Calls the actions of a transition in order.
 *
 * @param transition Selected transition.
 * @param methods Object whose methods are the actions.
 * @param data Argument of the actions.
 */
export function runActions(
  transition: CompiledTransition,
  methods: object,
  data: unknown,
): void {
  for (const action of transition.actions) {
    (methods as ChartMethods)[action](data);
  }
}
