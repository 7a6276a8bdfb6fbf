/** Executes a compiled state chart. */
import VError from "verror";
import type { ChartMethods, CompiledChart } from "./compile_chart.ts";

/**
 * One execution of a chart. It stores only the index of the current state.
 *
 * @example
 * const machine = new StateMachine(chart, leaseHolder);
 * machine.send("granted", { expiresMs: 5000 });
 * machine.is("held");
 */
export class StateMachine {
  readonly #chart: CompiledChart;
  readonly #methods: ChartMethods;
  #stateIndex: number;

  /**
   * @param chart Compiled chart.
   * @param methods Object whose methods are the chart's guards and actions.
   */
  constructor(chart: CompiledChart, methods: object) {
    this.#chart = chart;
    this.#methods = methods as ChartMethods;
    this.#stateIndex = chart.initialIndex;
  }

  /** Name of the current state. */
  get state(): string {
    return this.#chart.stateNames[this.#stateIndex] as string;
  }

  /** Whether the current state is final. */
  get isFinal(): boolean {
    return this.#chart.finalStates[this.#stateIndex] === true;
  }

  /**
   * Checks whether a state is the current one.
   *
   * @param stateName State name.
   * @returns True when the machine is in that state.
   */
  is(stateName: string): boolean {
    return this.state === stateName;
  }

  /**
   * Takes the first transition for the event that has no guard or whose guard
   * returns true. The state changes before the actions run, so that actions may
   * send further events.
   *
   * @param eventName Event that the chart declares.
   * @param data Argument for guards and actions.
   * @returns True when a transition was taken.
   * @throws {VError} On an event that the chart does not declare.
   */
  send(eventName: string, data?: unknown): boolean {
    const eventIndex = this.#chart.eventIndex.get(eventName);
    if (eventIndex === undefined) {
      throw new VError(
        'Chart "%s" has no event "%s"',
        this.#chart.name,
        eventName,
      );
    }
    const cell = this.#stateIndex * this.#chart.eventNames.length + eventIndex;
    for (const transition of this.#chart.table[cell] ?? []) {
      const { guard } = transition;
      if (guard !== undefined && !this.#methods[guard](data)) {
        continue;
      }
      this.#stateIndex = transition.targetIndex;
      for (const action of transition.actions) {
        this.#methods[action](data);
      }
      return true;
    }
    return false;
  }
}
